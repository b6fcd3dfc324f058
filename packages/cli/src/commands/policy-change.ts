import { ConnectError } from '@connectrpc/connect';
import type { ChangeResponse } from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import { reportChange } from '../change-report';
import type { CommandContext } from '../command-context';
import type { AdminClient } from '../environment';
import { isAnswerLost } from '../connection-failure';
import { ExitCode } from '../exit-code';
import { InputError } from '../input-error';
import { readDocument } from '../policy-file';

/** Options of all commands that change a policy. */
export interface ChangeOptions {
  /** Absent for a fresh identifier. */
  readonly operationId: string | undefined;
  /** Absent for the revision that the daemon has now. */
  readonly expectedRevision: number | undefined;
  readonly author: string | undefined;
  readonly dryRun: boolean;
}

interface ChangeFields {
  readonly operationId: string;
  readonly expectedRevision: bigint;
  readonly author: string;
  readonly dryRun: boolean;
}

async function presentRevision(client: AdminClient, service: string): Promise<bigint> {
  const { record } = await client.getPolicy({ service });
  return record?.revision ?? 0n;
}

async function fieldsOf(
  context: CommandContext,
  client: AdminClient,
  service: string,
  options: ChangeOptions,
): Promise<ChangeFields> {
  const { expectedRevision, operationId, author, dryRun } = options;
  return {
    operationId: operationId ?? context.environment.newOperationId(),
    expectedRevision:
      expectedRevision === undefined
        ? await presentRevision(client, service)
        : BigInt(expectedRevision),
    author: author ?? context.environment.userName,
    dryRun,
  };
}

/** Sends a change; a connection lost after it was sent leaves the change undecided. */
async function send(
  context: CommandContext,
  operationId: string,
  call: () => Promise<ChangeResponse>,
): Promise<boolean> {
  try {
    return reportChange(context, await call());
  } catch (error) {
    if (!isAnswerLost(error)) throw error;
    context.fail(
      ExitCode.undecided,
      `undecided: the daemon's answer was lost: ${ConnectError.from(error).rawMessage}\n` +
        `ask with: daisyferry policy settle ${operationId}`,
    );
    return false;
  }
}

/** `policy apply`: applies the files in their order and stops at the first that is not accepted. */
export async function applyPolicies(
  context: CommandContext,
  files: readonly string[],
  options: ChangeOptions,
): Promise<void> {
  const isForOne = options.operationId !== undefined || options.expectedRevision !== undefined;
  if (files.length > 1 && isForOne) {
    throw new InputError('--operation-id and --expected-revision: expected with one file only');
  }
  const documents = files.map((file) => readDocument(context.environment, file));
  const client = context.client();
  for (const { service, text } of documents) {
    const fields = await fieldsOf(context, client, service, options);
    const accepted = await send(context, fields.operationId, () =>
      client.applyPolicy({ ...fields, document: text }),
    );
    if (!accepted) return;
  }
}

/** `policy withdraw` */
export async function withdrawPolicy(
  context: CommandContext,
  service: string,
  options: ChangeOptions,
): Promise<void> {
  const client = context.client();
  const fields = await fieldsOf(context, client, service, options);
  await send(context, fields.operationId, () => client.withdrawPolicy({ ...fields, service }));
}

/** `policy settle`: finds out what became of a change whose answer was lost. */
export async function settleChange(context: CommandContext, operationId: string): Promise<void> {
  const client = context.client();
  await send(context, operationId, () => client.settleChange({ operationId }));
}
