//! Checks source rules that the stable formatter cannot enforce: one import per line, three import groups in order,
//! derives in alphabetical order, a doc comment on each public item, and no doc comment that only repeats names.

use std::collections::BTreeSet;
use std::fs;
use std::mem;
use std::path::Path;
use std::path::PathBuf;

use syn::Attribute;
use syn::Expr;
use syn::Ident;
use syn::Item;
use syn::Lit;
use syn::Meta;
use syn::Type;
use syn::Visibility;
use syn::spanned::Spanned;
use syn::visit;
use syn::visit::Visit;

/// Words that are ignored when a doc comment is compared with names.
const STOP_WORDS: &str = "a an and are as at be been by each every for from had has have in into is it its of on \
    one or s so such that the their them these they this those to was were which whose with";

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ImportGroup {
    Standard,
    External,
    Local,
}

/// Doc comment findings of one file, as pairs of line and message.
#[derive(Default)]
struct DocFindings {
    missing: Vec<(usize, String)>,
    repeating: Vec<(usize, String)>,
}

/// Syntax tree visitor that checks the doc comments of one file.
#[derive(Default)]
struct DocVisitor {
    /// Words in the name of the enclosing type or module.
    parent: BTreeSet<String>,
    /// Whether the enclosing trait, or the type of the enclosing `impl` block, is public.
    outer_is_public: bool,
    /// Types of the file that are not `pub`; their `pub` methods need no comment.
    private_types: BTreeSet<String>,
    findings: DocFindings,
}

#[derive(Default)]
struct IdentWords(BTreeSet<String>);

#[test]
fn sources_follow_the_import_and_derive_rules() {
    let mut findings = Vec::new();
    for (place, text) in read_sources() {
        check_imports(&place, &text, &mut findings);
        check_derives(&place, &text, &mut findings);
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

#[test]
fn public_items_have_doc_comments_that_say_more_than_names() {
    let mut findings = Vec::new();
    for (place, text) in read_sources() {
        if !place.contains("/src/") {
            continue;
        }
        let DocFindings { missing: mut file_findings, repeating } = check_docs(&place, &text);
        file_findings.extend(repeating);
        file_findings.sort();
        findings.extend(
            file_findings.into_iter().map(|(line, message)| format!("{place}:{line}: {message}")),
        );
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

#[test]
fn doc_rules_judge_snippets() {
    let cases = [
        ("pub fn run() {}", 1, 0),
        ("/// Starts the hosts of a site.\npub fn run() {}", 0, 0),
        ("pub const LIMIT: u32 = 1;", 1, 0),
        ("pub struct Call;", 1, 0),
        ("/// Work in flight.\npub struct Call { pub host: Host }", 0, 0),
        (
            "/// Work in flight.\npub struct Call {\n/// The host of this call.\npub host: Host }",
            0,
            1,
        ),
        ("struct Call {\n/// The targets.\npicked: Vec<Target> }", 0, 1),
        ("struct Call {\n/// Age in milliseconds.\nage: u64 }", 0, 0),
        ("enum CallKind {\n/// A call kind.\nRepeated }", 0, 1),
        ("/// Work in flight.\npub trait Work { fn run(&self); }", 1, 0),
        ("/// Work in flight.\npub struct Call;\nimpl Call { pub fn run(&self) {} }", 1, 0),
        ("struct Call;\nimpl Call { pub fn run(&self) {} }", 0, 0),
        ("struct Call;\nimpl Clone for Call { fn clone(&self) -> Self { Call } }", 0, 0),
    ];
    for (snippet, missing, repeating) in cases {
        let text = format!("//! Snippets under test.\n\n{snippet}\n");
        let found = check_docs("crates/sample/src/item.rs", &text);
        assert_eq!((found.missing.len(), found.repeating.len()), (missing, repeating), "{snippet}");
    }
    assert_eq!(check_docs("crates/sample/src/lib.rs", "fn run() {}").missing.len(), 1);
    assert_eq!(check_docs("crates/sample/src/lib.rs", "//! The sample.").repeating.len(), 1);
}

fn read_sources() -> Vec<(String, String)> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the crate is in crates/");
    let root = crates.parent().expect("crates/ is in the repository");
    let mut files = Vec::new();
    collect_sources(crates, &mut files);
    collect_sources(&root.join("platform"), &mut files);
    files.sort();
    assert!(!files.is_empty(), "no source files below {}", root.display());
    files
        .iter()
        .map(|file| {
            let text = fs::read_to_string(file).expect("source files are UTF-8");
            (file.strip_prefix(root).unwrap_or(file).display().to_string(), text)
        })
        .collect()
}

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be listed").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn check_imports(place: &str, text: &str, findings: &mut Vec<String>) {
    let mut last: Option<(ImportGroup, bool)> = None;
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            last = last.map(|(group, _)| (group, true));
            continue;
        }
        let Some(path) = line.strip_prefix("use ").or_else(|| line.strip_prefix("pub use ")) else {
            if !line.starts_with("//") && !line.starts_with("#[") {
                last = None;
            }
            continue;
        };
        let number = index + 1;
        if path.contains('{') || path.contains('*') {
            findings.push(format!("{place}:{number}: import one name per line"));
        }
        let group = import_group(path);
        match last {
            Some((before, false)) if before != group => {
                findings
                    .push(format!("{place}:{number}: separate import groups with a blank line"));
            }
            Some((before, true)) if group <= before => {
                findings.push(format!(
                    "{place}:{number}: order the groups std, other crates, this crate"
                ));
            }
            _ => {}
        }
        last = Some((group, false));
    }
}

fn import_group(path: &str) -> ImportGroup {
    let first = path.split("::").next().unwrap_or(path).trim_end_matches(';');
    match first {
        "std" | "core" | "alloc" => ImportGroup::Standard,
        "crate" | "self" | "super" => ImportGroup::Local,
        _ => ImportGroup::External,
    }
}

fn check_derives(place: &str, text: &str, findings: &mut Vec<String>) {
    let mut rest = text;
    let mut offset = 0;
    while let Some(start) = rest.find("#[derive(") {
        let list = &rest[start + "#[derive(".len()..];
        let Some(end) = list.find(')') else { return };
        let names: Vec<_> =
            list[..end].split(',').map(str::trim).filter(|name| !name.is_empty()).collect();
        if !names.is_sorted() {
            let number = text[..offset + start].lines().count() + 1;
            findings.push(format!("{place}:{number}: order the derives alphabetically"));
        }
        let step = start + "#[derive(".len() + end;
        offset += step;
        rest = &rest[step..];
    }
}

fn check_docs(place: &str, text: &str) -> DocFindings {
    let file = syn::parse_file(text).unwrap_or_else(|error| panic!("{place}: {error}"));
    let mut modules: Vec<_> = place.split('/').filter(|part| *part != "src").collect();
    if place.ends_with("/lib.rs") || place.ends_with("/main.rs") || place.ends_with("/mod.rs") {
        modules.pop();
    }
    let name = modules.pop().unwrap_or(place).trim_end_matches(".rs");
    let mut visitor = DocVisitor {
        parent: modules.last().into_iter().flat_map(|module| words(module)).collect(),
        private_types: file.items.iter().filter_map(private_type).collect(),
        ..DocVisitor::default()
    };
    visitor.check(name, 1, &file.attrs, true, BTreeSet::new());
    visitor.with_parent(words(name).collect(), |visitor| visit::visit_file(visitor, &file));
    visitor.findings
}

/// Splits an identifier or a sentence into words, in lower case and singular.
fn words(text: &str) -> impl Iterator<Item = String> {
    let mut spaced = String::new();
    let mut after_lowercase = false;
    for letter in text.chars() {
        if letter.is_uppercase() && after_lowercase {
            spaced.push(' ');
        }
        after_lowercase = letter.is_lowercase() || letter.is_numeric();
        spaced.push(if letter.is_alphanumeric() { letter } else { ' ' });
    }
    let words: Vec<_> =
        spaced.split_whitespace().map(|word| singular(word.to_lowercase())).collect();
    words.into_iter()
}

fn singular(word: String) -> String {
    if word.len() <= 3 || word.ends_with("ss") {
        return word;
    }
    if let Some(stem) = word.strip_suffix("ies") {
        return format!("{stem}y");
    }
    if ["sses", "xes", "ches", "shes"].iter().any(|ending| word.ends_with(ending)) {
        return word[..word.len() - 2].to_string();
    }
    word.strip_suffix('s').unwrap_or(&word).to_string()
}

/// Returns the doc comment lines among `attributes`. A doc attribute with a macro counts as one empty line.
fn doc_lines(attributes: &[Attribute]) -> Vec<(usize, String)> {
    let mut lines = Vec::new();
    for attribute in attributes.iter().filter(|attribute| attribute.path().is_ident("doc")) {
        let Meta::NameValue(pair) = &attribute.meta else { continue };
        let number = attribute.span().start().line;
        match &pair.value {
            Expr::Lit(literal) => {
                if let Lit::Str(text) = &literal.lit {
                    let text = text.value();
                    let filled = text.lines().filter(|line| !line.trim().is_empty());
                    lines.extend(filled.map(|line| (number, line.trim().to_string())));
                }
            }
            _ => lines.push((number, String::new())),
        }
    }
    lines
}

fn private_type(item: &Item) -> Option<String> {
    let (visibility, ident) = match item {
        Item::Enum(item) => (&item.vis, &item.ident),
        Item::Struct(item) => (&item.vis, &item.ident),
        Item::Union(item) => (&item.vis, &item.ident),
        _ => return None,
    };
    (!is_public(visibility)).then(|| ident.to_string())
}

fn is_public(visibility: &Visibility) -> bool {
    matches!(visibility, Visibility::Public(_))
}

fn ident_words(visit: impl FnOnce(&mut IdentWords)) -> BTreeSet<String> {
    let mut found = IdentWords::default();
    visit(&mut found);
    found.0
}

impl<'ast> Visit<'ast> for IdentWords {
    fn visit_ident(&mut self, ident: &'ast Ident) {
        self.0.extend(words(&ident.to_string()));
    }
}

impl DocVisitor {
    fn check(
        &mut self,
        name: &str,
        line: usize,
        attributes: &[Attribute],
        required: bool,
        type_words: BTreeSet<String>,
    ) {
        let lines = doc_lines(attributes);
        if lines.is_empty() && required {
            let message = format!("`{name}` is public and has no doc comment");
            self.findings.missing.push((line, message));
        }
        let [(comment_line, text)] = lines.as_slice() else { return };
        let mut known = type_words;
        known.extend(words(name));
        known.extend(STOP_WORDS.split_whitespace().flat_map(words));
        if !text.is_empty() && words(text).all(|w| known.contains(&w) || self.parent.contains(&w)) {
            let message = format!("the doc comment of `{name}` only repeats names: {text}");
            self.findings.repeating.push((*comment_line, message));
        }
    }

    fn check_item(
        &mut self,
        ident: &Ident,
        attributes: &[Attribute],
        required: bool,
        type_words: BTreeSet<String>,
    ) {
        self.check(&ident.to_string(), ident.span().start().line, attributes, required, type_words);
    }

    fn with_parent(&mut self, parent: BTreeSet<String>, walk: impl FnOnce(&mut Self)) {
        let outer = mem::replace(&mut self.parent, parent);
        walk(self);
        self.parent = outer;
    }

    fn with_item_parent(&mut self, ident: &Ident, walk: impl FnOnce(&mut Self)) {
        self.with_parent(words(&ident.to_string()).collect(), walk);
    }
}

impl<'ast> Visit<'ast> for DocVisitor {
    fn visit_item_struct(&mut self, node: &'ast syn::ItemStruct) {
        self.check_item(&node.ident, &node.attrs, is_public(&node.vis), BTreeSet::new());
        self.with_item_parent(&node.ident, |visitor| visit::visit_item_struct(visitor, node));
    }

    fn visit_item_enum(&mut self, node: &'ast syn::ItemEnum) {
        self.check_item(&node.ident, &node.attrs, is_public(&node.vis), BTreeSet::new());
        self.with_item_parent(&node.ident, |visitor| visit::visit_item_enum(visitor, node));
    }

    fn visit_item_union(&mut self, node: &'ast syn::ItemUnion) {
        self.check_item(&node.ident, &node.attrs, is_public(&node.vis), BTreeSet::new());
        self.with_item_parent(&node.ident, |visitor| visit::visit_item_union(visitor, node));
    }

    fn visit_item_trait(&mut self, node: &'ast syn::ItemTrait) {
        self.check_item(&node.ident, &node.attrs, is_public(&node.vis), BTreeSet::new());
        self.with_item_parent(&node.ident, |visitor| {
            let outer = mem::replace(&mut visitor.outer_is_public, is_public(&node.vis));
            visit::visit_item_trait(visitor, node);
            visitor.outer_is_public = outer;
        });
    }

    fn visit_item_mod(&mut self, node: &'ast syn::ItemMod) {
        // A module without a body has its doc comment in its own file.
        self.check_item(
            &node.ident,
            &node.attrs,
            is_public(&node.vis) && node.content.is_some(),
            BTreeSet::new(),
        );
        self.with_item_parent(&node.ident, |visitor| visit::visit_item_mod(visitor, node));
    }

    fn visit_item_impl(&mut self, node: &'ast syn::ItemImpl) {
        let name = match &*node.self_ty {
            Type::Path(path) => path.path.segments.last().map(|part| part.ident.to_string()),
            _ => None,
        };
        let public = name.is_none_or(|name| !self.private_types.contains(&name));
        let parent = ident_words(|found| found.visit_type(&node.self_ty));
        self.with_parent(parent, |visitor| {
            let outer = mem::replace(&mut visitor.outer_is_public, public);
            visit::visit_item_impl(visitor, node);
            visitor.outer_is_public = outer;
        });
    }

    fn visit_item_macro(&mut self, node: &'ast syn::ItemMacro) {
        if let Some(ident) = &node.ident {
            let exported = node.attrs.iter().any(|a| a.path().is_ident("macro_export"));
            self.check_item(ident, &node.attrs, exported, BTreeSet::new());
        }
    }

    fn visit_item_fn(&mut self, node: &'ast syn::ItemFn) {
        self.check_item(
            &node.sig.ident,
            &node.attrs,
            is_public(&node.vis),
            ident_words(|found| found.visit_signature(&node.sig)),
        );
        visit::visit_item_fn(self, node);
    }

    fn visit_item_const(&mut self, node: &'ast syn::ItemConst) {
        self.check_item(
            &node.ident,
            &node.attrs,
            is_public(&node.vis),
            ident_words(|found| found.visit_type(&node.ty)),
        );
        visit::visit_item_const(self, node);
    }

    fn visit_item_type(&mut self, node: &'ast syn::ItemType) {
        self.check_item(
            &node.ident,
            &node.attrs,
            is_public(&node.vis),
            ident_words(|found| found.visit_type(&node.ty)),
        );
    }

    fn visit_impl_item_fn(&mut self, node: &'ast syn::ImplItemFn) {
        self.check_item(
            &node.sig.ident,
            &node.attrs,
            self.outer_is_public && is_public(&node.vis),
            ident_words(|found| found.visit_signature(&node.sig)),
        );
        visit::visit_impl_item_fn(self, node);
    }

    fn visit_impl_item_const(&mut self, node: &'ast syn::ImplItemConst) {
        self.check_item(
            &node.ident,
            &node.attrs,
            self.outer_is_public && is_public(&node.vis),
            ident_words(|found| found.visit_type(&node.ty)),
        );
        visit::visit_impl_item_const(self, node);
    }

    fn visit_impl_item_type(&mut self, node: &'ast syn::ImplItemType) {
        self.check_item(
            &node.ident,
            &node.attrs,
            self.outer_is_public && is_public(&node.vis),
            ident_words(|found| found.visit_type(&node.ty)),
        );
    }

    fn visit_trait_item_fn(&mut self, node: &'ast syn::TraitItemFn) {
        self.check_item(
            &node.sig.ident,
            &node.attrs,
            self.outer_is_public,
            ident_words(|found| found.visit_signature(&node.sig)),
        );
        visit::visit_trait_item_fn(self, node);
    }

    fn visit_trait_item_const(&mut self, node: &'ast syn::TraitItemConst) {
        self.check_item(
            &node.ident,
            &node.attrs,
            self.outer_is_public,
            ident_words(|found| found.visit_type(&node.ty)),
        );
        visit::visit_trait_item_const(self, node);
    }

    fn visit_trait_item_type(&mut self, node: &'ast syn::TraitItemType) {
        self.check_item(&node.ident, &node.attrs, self.outer_is_public, BTreeSet::new());
    }

    fn visit_item_static(&mut self, node: &'ast syn::ItemStatic) {
        self.check_item(
            &node.ident,
            &node.attrs,
            is_public(&node.vis),
            ident_words(|found| found.visit_type(&node.ty)),
        );
    }

    fn visit_variant(&mut self, node: &'ast syn::Variant) {
        self.check_item(
            &node.ident,
            &node.attrs,
            false,
            ident_words(|found| found.visit_fields(&node.fields)),
        );
        let parent = words(&node.ident.to_string()).chain(self.parent.clone()).collect();
        self.with_parent(parent, |visitor| visit::visit_variant(visitor, node));
    }

    fn visit_field(&mut self, node: &'ast syn::Field) {
        if let Some(ident) = &node.ident {
            self.check_item(
                ident,
                &node.attrs,
                false,
                ident_words(|found| found.visit_type(&node.ty)),
            );
        }
    }
}
