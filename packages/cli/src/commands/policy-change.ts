import { ConnectError } from '@connectrpc/connect';
import type { ChangeResponse } from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import { reportChange } from '../change-report';
import { CliInputError } from '../cli-input-error';
import type { CommandContext } from '../command-context';
import { isResponseLost } from '../connection-failure';
import type { AdminClient } from '../environment';
import { CliExitCode } from '../exit-code';
import { readPolicyFile } from '../policy-file';

/** Options shared by all commands that change a policy. */
export interface ChangeOptions {
  /** Absent to create a new identifier. */
  readonly operationId: string | undefined;
  /** Absent to use the revision that the daemon currently applies. */
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

async function fetchPresentRevision(client: AdminClient, service: string): Promise<bigint> {
  const { record } = await client.getPolicy({ service });
  return record?.revision ?? 0n;
}

async function resolveChangeFields(
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
        ? await fetchPresentRevision(client, service)
        : BigInt(expectedRevision),
    author: author ?? context.environment.userName,
    dryRun,
  };
}

/** Sends a change. If the response is lost, the change is reported as undecided. */
async function sendChange(
  context: CommandContext,
  operationId: string,
  call: () => Promise<ChangeResponse>,
): Promise<boolean> {
  try {
    return reportChange(context, await call());
  } catch (error) {
    if (!isResponseLost(error)) throw error;
    context.fail(
      CliExitCode.undecided,
      `undecided: the daemon's response was lost: ${ConnectError.from(error).rawMessage}\n` +
        `find out with: daisyferry policy settle ${operationId}`,
    );
    return false;
  }
}

/** `policy apply`: applies the files in order and stops at the first one that is not accepted. */
export async function applyPolicies(
  context: CommandContext,
  files: readonly string[],
  options: ChangeOptions,
): Promise<void> {
  const hasSingleFileOption =
    options.operationId !== undefined || options.expectedRevision !== undefined;
  if (files.length > 1 && hasSingleFileOption) {
    throw new CliInputError('--operation-id and --expected-revision: expected with one file only');
  }
  const documents = files.map((file) => readPolicyFile(context.environment, file));
  const client = context.client();
  for (const { service, text } of documents) {
    const fields = await resolveChangeFields(context, client, service, options);
    const accepted = await sendChange(context, fields.operationId, () =>
      client.applyPolicy({ ...fields, document: text }),
    );
    if (!accepted) return;
  }
}

/** `policy withdraw`: proposes a change that removes the policy of a service. */
export async function withdrawPolicy(
  context: CommandContext,
  service: string,
  options: ChangeOptions,
): Promise<void> {
  const client = context.client();
  const fields = await resolveChangeFields(context, client, service, options);
  await sendChange(context, fields.operationId, () =>
    client.withdrawPolicy({ ...fields, service }),
  );
}

/** `policy settle`: determines the outcome of a change whose response was lost. */
export async function settleChange(context: CommandContext, operationId: string): Promise<void> {
  const client = context.client();
  await sendChange(context, operationId, () => client.settleChange({ operationId }));
}
