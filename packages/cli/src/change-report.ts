import {
  ChangeResponseSchema,
  type ChangeResponse,
  type Difference,
  type Problem,
} from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import type { CommandContext } from './command-context';
import { CliExitCode, type CliExitCodeNumber } from './exit-code';

/** Formats each changed field with its old value (`-`) and its new value (`+`). */
export function formatDifferences(differences: readonly Difference[]): string {
  if (differences.length === 0) return 'no difference';
  return differences
    .flatMap(({ path, before, after }) => [
      path === '' ? '(document)' : path,
      ...(before === undefined ? [] : [`  - ${before}`]),
      ...(after === undefined ? [] : [`  + ${after}`]),
    ])
    .join('\n');
}

export function formatProblems(problems: readonly Problem[]): string {
  return problems
    .map(({ path, value, expected }) => `  ${path || '(document)'}: found ${value}: ${expected}`)
    .join('\n');
}

function formatRefusal(response: ChangeResponse): string {
  const { operationId, reason, detail, problems, presentRevision, presentAuthor } = response;
  const summaryLine = `refused: ${reason}${detail === '' ? '' : `: ${detail}`}`;
  const presentPolicyLine =
    presentAuthor === '' ? '' : `\nin force: revision ${presentRevision} by ${presentAuthor}`;
  const problemLines = problems.length === 0 ? '' : `\n${formatProblems(problems)}`;
  return `${summaryLine}${problemLines}${presentPolicyLine}\noperation ${operationId}: nothing was changed`;
}

function formatChange(response: ChangeResponse): string {
  const { outcome, service, revision, operationId, detail } = response;
  if (outcome === 'accepted') return `accepted: ${service} at revision ${revision}`;
  if (outcome === 'refused') return formatRefusal(response);
  if (outcome === 'checked') {
    const { presentRevision, differences } = response;
    return `would be accepted: ${service}, now at revision ${presentRevision}\n${formatDifferences(differences)}`;
  }
  return [
    `undecided: ${detail}`,
    `the change may have been written; find out with: daisyferry policy settle ${operationId}`,
  ].join('\n');
}

function exitCodeForChange({ outcome, reason }: ChangeResponse): CliExitCodeNumber {
  if (outcome === 'accepted' || outcome === 'checked') return CliExitCode.ok;
  if (outcome === 'undecided') return CliExitCode.undecided;
  return reason === 'invalid' ? CliExitCode.badInput : CliExitCode.refused;
}

/**
 * Prints the outcome of a change and sets the exit code; returns true if it was
 * accepted, or would be in a dry run.
 */
export function reportChange(context: CommandContext, response: ChangeResponse): boolean {
  context.printResponse(ChangeResponseSchema, response, formatChange(response));
  context.exitCode = exitCodeForChange(response);
  return context.exitCode === CliExitCode.ok;
}
