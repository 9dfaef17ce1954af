//! Traverses the syntax tree of a file to collect all findings and build a value that matches the schema.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use miette::NamedSource;
use serde_json::Map;
use serde_json::Value;
use vanillapick_model::table::TableFinding;

use crate::finding::FindingReport;
use crate::finding::SourceFinding;
use crate::scalar::nearest_value;
use crate::scalar::parse_scalar;
use crate::scalar::placeholder_value;
use crate::schema::FieldPresence;
use crate::schema::FieldSchema;
use crate::schema::ValueSchema;
use crate::schema::is_name;
use crate::schema::quoted;

/// Field whose value selects the other fields of a [`ValueSchema::Tagged`] value.
pub(crate) const TAG_FIELD: &str = "state";

/// Field of a file with the way in which unusable values are handled.
pub(crate) const UNUSABLE_VALUES_FIELD: &str = "unusable_values";

/// Value of [`UNUSABLE_VALUES_FIELD`] with which unusable values of optional fields are replaced.
pub(crate) const REPLACE_UNUSABLE: &str = "replace";

/// Maximum edit distance at which a known field is suggested in place of an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// State and findings of the validation of one file.
pub(crate) struct FileValidation {
    source: Arc<NamedSource<String>>,
    findings: Vec<SourceFinding>,
    /// Whether unusable values of optional fields are replaced.
    replaces_unusable: bool,
    /// Values that were replaced, and fields that were left out.
    replaced: Vec<SourceFinding>,
    /// Source spans of all values, by place.
    spans: BTreeMap<String, Range<usize>>,
    /// Places with an invalid or missing value, used to suppress findings that only follow from it.
    invalid_places: Vec<String>,
}

/// What is used for a field that a file has.
enum FieldValue {
    AsWritten,
    Replaced(Value),
    /// Nothing, so that the deserializer supplies the default.
    Default,
}

impl FileValidation {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        Self {
            source: Arc::new(NamedSource::new(name, text.to_owned())),
            findings: Vec::new(),
            replaces_unusable: false,
            replaced: Vec::new(),
            spans: BTreeMap::new(),
            invalid_places: Vec::new(),
        }
    }

    pub(crate) fn into_findings(self) -> Vec<SourceFinding> {
        self.findings
    }

    /// Takes the report on what was replaced, if anything was.
    pub(crate) fn take_replaced(&mut self) -> Option<FindingReport> {
        let replaced = std::mem::take(&mut self.replaced);
        (!replaced.is_empty()).then(|| FindingReport::new(replaced))
    }

    /// Validates the file. The returned value always matches the schema, since invalid parts are replaced by
    /// placeholders. Returns `None` if the file contains no value that can be parsed.
    pub(crate) fn validate(&mut self, schema: &'static ValueSchema) -> Option<Value> {
        let source = Arc::clone(&self.source);
        let text = source.inner();
        let tree = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
            Ok(tree) => tree,
            Err(error) => {
                let range = error.range();
                self.push_finding(
                    "",
                    range.start..range.end,
                    format!("syntax: {}", error.kind()).to_lowercase(),
                    "write JSON; comments and trailing commas are allowed".to_owned(),
                );
                // The lenient options tolerate some syntax errors, so that the rest of the file is still checked.
                parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).ok()?
            }
        };
        let Some(root) = tree.value else {
            self.push_finding(
                "",
                0..text.len().min(1),
                "the file is empty".to_owned(),
                schema.help(),
            );
            return None;
        };
        self.replaces_unusable = replaces_unusable(&root, schema);
        Some(self.validate_value("", &root, schema))
    }

    /// Replaces the value of an optional field if the file asks for that and the value is one that a platform writes for a number.
    fn replace_unusable(
        &mut self,
        place: &str,
        node: &ast::Value<'_>,
        field: &FieldSchema,
    ) -> FieldValue {
        let is_of_platform = matches!(
            node,
            ast::Value::NumberLit(_) | ast::Value::BooleanLit(_) | ast::Value::NullKeyword(_)
        );
        let is_optional = field.presence == FieldPresence::Optional;
        if !self.replaces_unusable || !is_optional || !is_of_platform {
            return FieldValue::AsWritten;
        }
        let Err(label) = parse_scalar(node, &field.schema) else { return FieldValue::AsWritten };
        let nearest = nearest_value(node, &field.schema);
        let used = nearest.as_ref().map_or_else(|| "the default".to_owned(), Value::to_string);
        let span = value_span(node);
        let help = format!("{used} is used; {}", field.schema.help());
        self.replaced.push(SourceFinding::new(&self.source, place, span.clone(), label, help));
        self.spans.insert(place.to_owned(), span);
        nearest.map_or(FieldValue::Default, FieldValue::Replaced)
    }

    /// Adds a finding of a check on the typed value, unless it is a consequence of an earlier finding.
    pub(crate) fn add_check_finding(&mut self, finding: TableFinding) {
        let TableFinding { place, label, help } = finding;
        if self.invalid_places.iter().any(|wrong| implies_finding_at(wrong, &place)) {
            return;
        }
        let mut nearest = place.as_str();
        let span = loop {
            if let Some(span) = self.spans.get(nearest) {
                break span.clone();
            }
            match nearest.rfind('.') {
                Some(dot) => nearest = &nearest[..dot],
                None => break self.spans.get("").cloned().unwrap_or(0..0),
            }
        };
        self.push_finding(&place, span, label, help);
    }

    fn push_finding(&mut self, place: &str, span: Range<usize>, label: String, help: String) {
        self.findings.push(SourceFinding::new(&self.source, place, span, label, help));
    }

    fn add_finding(&mut self, place: &str, span: Range<usize>, label: String, help: String) {
        self.invalid_places.push(place.to_owned());
        self.push_finding(place, span, label, help);
    }

    fn validate_value(
        &mut self,
        place: &str,
        node: &ast::Value<'_>,
        schema: &'static ValueSchema,
    ) -> Value {
        let span = value_span(node);
        self.spans.insert(place.to_owned(), span.clone());
        match (schema, node) {
            (ValueSchema::Record(fields), ast::Value::Object(object)) => {
                self.validate_record(place, object, fields, None)
            }
            (ValueSchema::Tagged(variants), ast::Value::Object(object)) => {
                self.validate_tagged(place, object, variants, schema)
            }
            (ValueSchema::Map(inner), ast::Value::Object(object)) => {
                self.validate_map(place, object, inner)
            }
            (ValueSchema::List(inner), ast::Value::Array(array)) => {
                let values = array.elements.iter().enumerate();
                values
                    .map(|(index, node)| {
                        self.validate_value(&join_place(place, index), node, inner)
                    })
                    .collect()
            }
            _ => match parse_scalar(node, schema) {
                Ok(value) => value,
                Err(label) => {
                    self.add_finding(place, span, label, schema.help());
                    placeholder_value(schema)
                }
            },
        }
    }

    fn validate_map(
        &mut self,
        place: &str,
        object: &ast::Object<'_>,
        inner: &'static ValueSchema,
    ) -> Value {
        let mut map = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if map.contains_key(name) {
                self.add_duplicate(place, property);
                continue;
            }
            let key = join_place(place, name);
            if !is_name(name) {
                let label = format!("{name:?} is not a valid name");
                self.add_finding(&key, node_span(&property.name), label, ValueSchema::Name.help());
            }
            let value = self.validate_value(&key, &property.value, inner);
            map.insert(name.to_owned(), value);
        }
        Value::Object(map)
    }

    fn validate_tagged(
        &mut self,
        place: &str,
        object: &ast::Object<'_>,
        variants: &'static [(&'static str, &'static [FieldSchema])],
        schema: &'static ValueSchema,
    ) -> Value {
        let tag = object.get(TAG_FIELD);
        let word = tag.and_then(|tag| tag.value.as_string_lit()).map(|word| word.value.as_ref());
        let variant = variants.iter().find(|(known, _)| Some(*known) == word);
        if let Some((known, fields)) = variant {
            return self.validate_record(place, object, fields, Some(known));
        }
        let (span, label) = match (tag, word) {
            (Some(tag), Some(word)) => (value_span(&tag.value), format!("unknown state {word:?}")),
            (Some(tag), None) => (value_span(&tag.value), "the state is not a string".to_owned()),
            (None, _) => (opening_brace(object), format!("missing field \"{TAG_FIELD}\"")),
        };
        self.add_finding(place, span, label, schema.help());
        placeholder_value(schema)
    }

    fn validate_record(
        &mut self,
        place: &str,
        object: &ast::Object<'_>,
        fields: &'static [FieldSchema],
        tag: Option<&str>,
    ) -> Value {
        let mut map = Map::new();
        if let Some(tag) = tag {
            map.insert(TAG_FIELD.to_owned(), Value::from(tag));
        }
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let earlier = &object.properties[..index];
            if earlier.iter().any(|other| other.name.as_str() == name) {
                self.add_duplicate(place, property);
                continue;
            }
            if tag.is_some() && name == TAG_FIELD {
                continue;
            }
            let key = join_place(place, name);
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                self.add_unknown_field(&key, property, fields);
                continue;
            };
            let value = match self.replace_unusable(&key, &property.value, field) {
                FieldValue::AsWritten => self.validate_value(&key, &property.value, &field.schema),
                FieldValue::Replaced(value) => value,
                FieldValue::Default => continue,
            };
            map.insert(name.to_owned(), value);
        }
        for field in fields {
            if field.presence == FieldPresence::Optional || map.contains_key(field.name) {
                continue;
            }
            map.insert(field.name.to_owned(), placeholder_value(&field.schema));
            if !field.is_required() {
                continue;
            }
            let label = format!("missing field \"{}\"", field.name);
            let help = format!("add \"{}\": {}", field.name, field.schema.help());
            self.add_finding(&join_place(place, field.name), opening_brace(object), label, help);
        }
        Value::Object(map)
    }

    fn add_unknown_field(
        &mut self,
        place: &str,
        property: &ast::ObjectProp<'_>,
        fields: &'static [FieldSchema],
    ) {
        let name = property.name.as_str();
        let (span, label) = (node_span(&property.name), format!("unknown field {name:?}"));
        let help = known_fields_help(name, fields);
        if self.replaces_unusable {
            let help = format!("it is left out; {help}");
            self.replaced.push(SourceFinding::new(&self.source, place, span, label, help));
        } else {
            self.push_finding(place, span, label, help);
        }
    }

    fn add_duplicate(&mut self, place: &str, property: &ast::ObjectProp<'_>) {
        let name = property.name.as_str();
        let label = format!("{name:?} is defined twice");
        let help = "remove one of the two entries".to_owned();
        self.push_finding(&join_place(place, name), node_span(&property.name), label, help);
    }
}

/// Whether the text appears to contain tables, even if it has syntax errors.
pub(crate) fn looks_like_tables(text: &str) -> bool {
    let tree = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let root = tree.ok().and_then(|tree| tree.value);
    let object = root.as_ref().and_then(ast::Value::as_object);
    object.is_some_and(|object| object.get("routes").or(object.get("pools")).is_some())
}

/// Whether the schema has [`UNUSABLE_VALUES_FIELD`] and the file asks for replacements.
fn replaces_unusable(root: &ast::Value<'_>, schema: &ValueSchema) -> bool {
    let ValueSchema::Record(fields) = schema else { return false };
    let is_known = fields.iter().any(|field| field.name == UNUSABLE_VALUES_FIELD);
    let property = root.as_object().and_then(|object| object.get(UNUSABLE_VALUES_FIELD));
    let word = property.and_then(|property| property.value.as_string_lit());
    is_known && word.is_some_and(|word| word.value == REPLACE_UNUSABLE)
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn known_fields_help(name: &str, fields: &[FieldSchema]) -> String {
    let distances = fields.iter().map(|field| (edit_distance(name, field.name), field.name));
    match distances.min() {
        Some((distance, close)) if distance <= MAX_SUGGESTION_DISTANCE => {
            format!("did you mean \"{close}\"?")
        }
        Some(_) => format!("known fields: {}", quoted(fields.iter().map(|field| field.name))),
        None => "remove the field".to_owned(),
    }
}

/// Levenshtein distance, counted in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, left_byte) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (index, right_byte) in right.bytes().enumerate() {
            let replaced = diagonal + usize::from(left_byte != right_byte);
            diagonal = row[index + 1];
            row[index + 1] = replaced.min(row[index] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

/// Whether a finding at `place` is a consequence of one at `wrong`, because `place` is the same or a descendant.
///
/// Targets of a pool are checked against its shard maps, so an error in the shard maps also suppresses findings in the
/// targets. An error in the whole pools table suppresses findings in the routes that refer to it.
fn implies_finding_at(wrong: &str, place: &str) -> bool {
    let starts = |prefix: &str| {
        place.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    if starts(wrong) || wrong.is_empty() {
        return true;
    }
    match wrong.split_once(".shard_maps") {
        Some((pool, _)) => starts(&format!("{pool}.targets")),
        None => wrong == "pools" && starts("routes"),
    }
}

fn join_place(place: &str, part: impl std::fmt::Display) -> String {
    if place.is_empty() { part.to_string() } else { format!("{place}.{part}") }
}

fn node_span(node: &impl Ranged) -> Range<usize> {
    let range = node.range();
    range.start..range.end
}

/// The span of a scalar, or the opening bracket of an object or array: a span over several lines would obscure the
/// location in the excerpt.
fn value_span(node: &ast::Value<'_>) -> Range<usize> {
    match node {
        ast::Value::Object(_) | ast::Value::Array(_) => {
            let start = node.range().start;
            start..start + 1
        }
        _ => node_span(node),
    }
}

fn opening_brace(object: &ast::Object<'_>) -> Range<usize> {
    object.range.start..object.range.start + 1
}
