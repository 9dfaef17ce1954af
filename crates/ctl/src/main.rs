//! Entry point of the command line for operators; see `vanillapick-ctl --help`.

use std::io::IsTerminal;
use std::io::Write;
use std::process::ExitCode;

use vanillapick_ctl::CommandContext;
use vanillapick_ctl::CommandOutput;
use vanillapick_ctl::run_with_context;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let mut context = CommandContext::current();
    context.color = std::io::stderr().is_terminal();
    let arguments = std::env::args_os().skip(1).collect();
    let mut output = CommandOutput::default();
    let status = run_with_context(&context, arguments, &mut output).await;
    // Write errors are ignored, because a reader that has closed the pipe needs no more output.
    let _ = std::io::stdout().write_all(output.text.as_bytes());
    let _ = std::io::stderr().write_all(output.errors.as_bytes());
    ExitCode::from(status.code())
}
