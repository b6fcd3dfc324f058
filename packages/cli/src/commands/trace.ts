import type { CommandContext } from '../command-context';
import { CliExitCode } from '../exit-code';
import { findRequestLogLines, formatLogLines } from '../request-log';

/** `trace`: prints the log lines of one request, sorted by time. */
export function traceRequest(
  context: CommandContext,
  requestId: string,
  files: readonly string[],
): void {
  const text = files.map((file) => context.environment.readFile(file)).join('\n');
  const lines = findRequestLogLines(text, requestId);
  if (lines.length === 0) {
    context.fail(CliExitCode.notFound, `${requestId}: no log lines in ${files.join(', ')}`);
    return;
  }
  context.printValue(lines, formatLogLines(lines));
}
