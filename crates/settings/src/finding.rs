//! Findings with their location in a file, and the report that displays them.

use std::fmt;
use std::ops::Range;
use std::sync::Arc;

use miette::Diagnostic;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;

/// Width of a rendered report in columns.
const REPORT_WIDTH: usize = 110;

/// One error in a file.
#[derive(Clone, Debug)]
pub struct SourceFinding {
    /// Dot-separated path of keys and indexes; empty for the whole file.
    pub place: String,
    /// Line of the first invalid character, starting at 1.
    pub line: usize,
    /// Column of the first invalid character, in characters, starting at 1.
    pub column: usize,
    /// Description of the error.
    pub label: String,
    /// How to correct the error.
    pub help: String,
    span: Range<usize>,
    source: Arc<NamedSource<String>>,
}

impl SourceFinding {
    pub(crate) fn new(
        source: &Arc<NamedSource<String>>,
        place: &str,
        span: Range<usize>,
        label: String,
        help: String,
    ) -> Self {
        let before = source.inner().get(..span.start).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Self {
            place: place.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            label,
            help,
            span,
            source: Arc::clone(source),
        }
    }

    /// Name of the file as passed by the caller.
    pub fn file(&self) -> &str {
        self.source.name()
    }

    pub(crate) fn start(&self) -> usize {
        self.span.start
    }
}

impl fmt::Display for SourceFinding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, column, label, help, .. } = self;
        write!(out, "{}:{line}:{column}: {label}; {help}", self.file())
    }
}

impl std::error::Error for SourceFinding {}

/// Adapter for miette. The excerpt shows the location, so the message consists of the label only.
#[derive(Debug)]
struct FindingDiagnostic<'a>(&'a SourceFinding);

impl fmt::Display for FindingDiagnostic<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0.label)
    }
}

impl std::error::Error for FindingDiagnostic<'_> {}

impl Diagnostic for FindingDiagnostic<'_> {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.0.help))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(self.0.source.as_ref())
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = Some("here".to_owned());
        let span = LabeledSpan::new(label, self.0.span.start, self.0.span.len());
        Some(Box::new(std::iter::once(span)))
    }
}

/// All findings of one file, sorted by their position in it.
///
/// `Display` writes one line per finding: `file:line:column: label; help`.
#[derive(Clone, Debug)]
pub struct FindingReport {
    findings: Vec<SourceFinding>,
}

impl FindingReport {
    /// `findings` must not be empty.
    pub(crate) fn new(mut findings: Vec<SourceFinding>) -> Self {
        findings.sort_by_key(SourceFinding::start);
        Self { findings }
    }

    /// Never empty.
    pub fn findings(&self) -> &[SourceFinding] {
        &self.findings
    }

    /// Renders the report with excerpts of the file; `color` adds terminal escape codes.
    pub fn render(&self, color: bool) -> String {
        let theme =
            if color { GraphicalTheme::unicode() } else { GraphicalTheme::unicode_nocolor() };
        let handler = GraphicalReportHandler::new_themed(theme)
            .with_width(REPORT_WIDTH)
            .with_context_lines(1)
            .with_links(false);
        let mut text = String::new();
        for finding in &self.findings {
            if handler.render_report(&mut text, &FindingDiagnostic(finding)).is_err() {
                text.push_str(&finding.to_string());
            }
            text.push('\n');
        }
        text
    }
}

impl fmt::Display for FindingReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if 0 < index {
                writeln!(out)?;
            }
            write!(out, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingReport {}
