import {
  ChangeResponseSchema,
  type ChangeResponse,
  type Difference,
  type Problem,
} from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import type { CommandContext } from './command-context';
import { ExitCode, type ExitCodeNumber } from './exit-code';

/** One line for each field that differs: `-` for what was, `+` for what will be. */
export function differencesText(differences: readonly Difference[]): string {
  if (differences.length === 0) return 'no difference';
  return differences
    .flatMap(({ path, before, after }) => [
      path === '' ? '(document)' : path,
      ...(before === undefined ? [] : [`  - ${before}`]),
      ...(after === undefined ? [] : [`  + ${after}`]),
    ])
    .join('\n');
}

export function problemsText(problems: readonly Problem[]): string {
  return problems
    .map(({ path, value, expected }) => `  ${path || '(document)'}: found ${value}: ${expected}`)
    .join('\n');
}

function refusalText(response: ChangeResponse): string {
  const { operationId, reason, detail, problems, presentRevision, presentAuthor } = response;
  const first = `refused: ${reason}${detail === '' ? '' : `: ${detail}`}`;
  const present =
    presentAuthor === '' ? '' : `\nin force: revision ${presentRevision} by ${presentAuthor}`;
  const faults = problems.length === 0 ? '' : `\n${problemsText(problems)}`;
  return `${first}${faults}${present}\noperation ${operationId}: nothing was changed`;
}

function changeText(response: ChangeResponse): string {
  const { outcome, service, revision, operationId, detail } = response;
  if (outcome === 'accepted') return `accepted: ${service} at revision ${revision}`;
  if (outcome === 'refused') return refusalText(response);
  if (outcome === 'checked') {
    const { presentRevision, differences } = response;
    return `would be accepted: ${service}, now at revision ${presentRevision}\n${differencesText(differences)}`;
  }
  return [
    `undecided: ${detail}`,
    `the change may have been written; ask with: daisyferry policy settle ${operationId}`,
  ].join('\n');
}

function exitCodeOf({ outcome, reason }: ChangeResponse): ExitCodeNumber {
  if (outcome === 'accepted' || outcome === 'checked') return ExitCode.ok;
  if (outcome === 'undecided') return ExitCode.undecided;
  return reason === 'invalid' ? ExitCode.badInput : ExitCode.refused;
}

/** Prints the outcome of a change and sets the exit code; false unless it was accepted. */
export function reportChange(context: CommandContext, response: ChangeResponse): boolean {
  context.answer(ChangeResponseSchema, response, changeText(response));
  context.exitCode = exitCodeOf(response);
  return context.exitCode === ExitCode.ok;
}
