import {
  DiffPolicyResponseSchema,
  GetPolicyResponseSchema,
  HistoryResponseSchema,
  ListPoliciesResponseSchema,
  type PolicyRecord,
} from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import { formatDifferences, formatProblems } from '../change-report';
import { CliInputError } from '../cli-input-error';
import type { CommandContext } from '../command-context';
import { CliExitCode } from '../exit-code';
import { readPolicyFile } from '../policy-file';
import { formatTable } from '../table';

function changeKind({ withdrawn }: PolicyRecord): string {
  return withdrawn ? 'withdrawn' : 'replaced';
}

/** `policy get`: prints the document of a policy, so that it can be edited and applied again. */
export async function getPolicy(
  context: CommandContext,
  service: string,
  revision: number | undefined,
): Promise<void> {
  const request = { service, revision: BigInt(revision ?? 0) };
  const response = await context.client().getPolicy(request);
  const { record } = response;
  if (record === undefined || (record.withdrawn && revision === undefined)) {
    const revisionText = revision === undefined ? '' : ` at revision ${revision}`;
    context.fail(CliExitCode.notFound, `no policy of ${service}${revisionText}`);
    return;
  }
  const text = record.withdrawn
    ? `withdrawn at revision ${record.revision}`
    : JSON.stringify(JSON.parse(record.document), null, 2);
  context.printResponse(GetPolicyResponseSchema, response, text);
}

/** `policy list`: lists the policies in force on the contacted daemon. */
export async function listPolicies(context: CommandContext): Promise<void> {
  const response = await context.client().listPolicies({});
  const rows = response.records.map(({ service, revision, author, acceptedAt }) => [
    service,
    String(revision),
    author,
    acceptedAt,
  ]);
  const table = formatTable(['SERVICE', 'REVISION', 'AUTHOR', 'ACCEPTED'], rows);
  context.printResponse(ListPoliciesResponseSchema, response, table);
}

export interface DiffArguments {
  readonly file: string | undefined;
  readonly service: string | undefined;
  readonly revision: number | undefined;
}

/** `policy diff`: compares a file, or an older revision, with the policy in force. */
export async function diffPolicy(
  context: CommandContext,
  { file, service, revision }: DiffArguments,
): Promise<void> {
  if (file === undefined && (service === undefined || revision === undefined)) {
    throw new CliInputError('policy diff: expected FILE, or --service and --revision');
  }
  const document = file === undefined ? undefined : readPolicyFile(context.environment, file);
  const response = await context.client().diffPolicy({
    service: service ?? document?.service ?? '',
    document: document?.text ?? '',
    revision: BigInt(revision ?? 0),
  });
  const { problems, differences } = response;
  const isInvalid = problems.length > 0;
  const text = isInvalid ? `invalid:\n${formatProblems(problems)}` : formatDifferences(differences);
  context.printResponse(DiffPolicyResponseSchema, response, text);
  if (isInvalid) context.exitCode = CliExitCode.badInput;
}

export interface HistoryArguments {
  readonly service: string | undefined;
  readonly before: number | undefined;
  readonly limit: number;
}

/** `policy history`: lists the changes of one service or of all, latest first. */
export async function showPolicyHistory(
  context: CommandContext,
  { service, before, limit }: HistoryArguments,
): Promise<void> {
  const response = await context.client().history({
    service: service ?? '',
    beforeRevision: BigInt(before ?? 0),
    limit,
  });
  const rows = response.records.map((record) => [
    String(record.revision),
    record.service,
    changeKind(record),
    record.author,
    record.acceptedAt,
    record.operationId,
  ]);
  const header = ['REVISION', 'SERVICE', 'CHANGE', 'AUTHOR', 'ACCEPTED', 'OPERATION'];
  const last = response.records.at(-1);
  const more =
    response.more && last !== undefined ? `\nolder changes: --before ${last.revision}` : '';
  context.printResponse(HistoryResponseSchema, response, formatTable(header, rows) + more);
}
