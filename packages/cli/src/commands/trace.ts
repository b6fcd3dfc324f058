import type { CommandContext } from '../command-context';
import { ExitCode } from '../exit-code';
import { requestStory, storyText } from '../request-story';

/** `trace`: what the daemons' logs tell of one request, in order of time. */
export function traceRequest(
  context: CommandContext,
  requestId: string,
  files: readonly string[],
): void {
  const text = files.map((file) => context.environment.readFile(file)).join('\n');
  const lines = requestStory(text, requestId);
  if (lines.length === 0) {
    context.fail(ExitCode.notFound, `${requestId}: no line in ${files.join(', ')}`);
    return;
  }
  context.report(lines, storyText(lines));
}
