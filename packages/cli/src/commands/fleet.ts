import { ConnectError } from '@connectrpc/connect';
import {
  DrainResponseSchema,
  ExplainResponseSchema,
  ListMembersResponseSchema,
  StatusResponseSchema,
  type DrainResponse,
  type ExplainResponse,
  type StatusResponse,
} from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';
import type { CommandContext } from '../command-context';
import { isResponseLost } from '../connection-failure';
import { CliExitCode } from '../exit-code';
import { formatFields, formatTable } from '../table';

/** `members`: lists the known daemons, of one service or of all. */
export async function listMembers(
  context: CommandContext,
  service: string | undefined,
): Promise<void> {
  const response = await context.client().listMembers({ service: service ?? '' });
  const rows = response.members.map((member) => [
    member.name,
    member.service,
    member.dataCentre,
    member.targetState,
    member.reachability,
    `${member.address}:${member.peerPort}`,
    String(member.slots),
    member.incarnation,
  ]);
  const header = [
    'DAEMON',
    'SERVICE',
    'DATA CENTRE',
    'TARGET',
    'REACHABILITY',
    'ADDRESS',
    'SLOTS',
    'INCARNATION',
  ];
  context.printResponse(ListMembersResponseSchema, response, formatTable(header, rows));
}

/** Requests a drain; returns undefined if the response was lost. */
async function sendDrain(
  context: CommandContext,
  daemon: string,
  force: boolean,
): Promise<DrainResponse | undefined> {
  try {
    return await context.client().drain({ daemon, force });
  } catch (error) {
    if (!isResponseLost(error)) throw error;
    const { rawMessage } = ConnectError.from(error);
    context.fail(
      CliExitCode.undecided,
      `unknown: the daemon's response was lost: ${rawMessage}\n` +
        'the drain may have begun; it is safe to repeat the command',
    );
    return undefined;
  }
}

/** `drain`: lets the target of one daemon leave; of the contacted daemon if none is named. */
export async function drainTarget(
  context: CommandContext,
  daemon: string | undefined,
  force: boolean,
): Promise<void> {
  const response = await sendDrain(context, daemon ?? '', force);
  if (response === undefined) return;
  const { outcome, reason, targetState, inFlight } = response;
  const detail = outcome === 'begun' ? `${targetState}, ${inFlight} in flight` : reason;
  context.printResponse(DrainResponseSchema, response, `${outcome}: ${response.daemon}: ${detail}`);
  if (outcome === 'refused') context.exitCode = CliExitCode.refused;
  if (outcome === 'unknown') context.exitCode = CliExitCode.undecided;
}

function formatStatus(response: StatusResponse): string {
  const { headRevision, appliedRevision, lagging, comparedRevision } = response;
  const fields = formatFields([
    ['daemon', `${response.daemon} (${response.incarnation})`],
    ['service', response.service],
    ['target', response.targetState],
    ['ready', response.ready ? 'yes' : 'no'],
    ['members', String(response.members)],
    ['applied revision', String(appliedRevision)],
    ['store revision', headRevision === undefined ? 'store does not answer' : String(headRevision)],
    ['store regressions', String(response.storeRegressions)],
  ]);
  if (lagging.length === 0) return `${fields}\n\nall daemons apply revision ${comparedRevision}`;
  const rows = lagging.map((daemon) => [
    daemon.daemon,
    daemon.service,
    daemon.appliedRevision === undefined ? 'no answer' : String(daemon.appliedRevision),
  ]);
  const table = formatTable(['DAEMON', 'SERVICE', 'REVISION'], rows);
  return `${fields}\n\nbehind revision ${comparedRevision}:\n${table}`;
}

/** `status`: shows the state of the contacted daemon and the daemons that lag behind. */
export async function showStatus(
  context: CommandContext,
  revision: number | undefined,
): Promise<void> {
  const response = await context.client().status({ revision: BigInt(revision ?? 0) });
  context.printResponse(StatusResponseSchema, response, formatStatus(response));
}

function formatExplanation({ refusals, limits }: ExplainResponse): string {
  const refusalRows = refusals.map((refusal) => [
    new Date(refusal.wallMs).toISOString(),
    refusal.call,
    refusal.root,
    `${refusal.service}/${refusal.method}`,
    refusal.class,
    refusal.reason,
    refusal.detail,
  ]);
  const limitRows = limits.map(({ name, value, unit, detail }) => [
    name,
    String(value),
    unit,
    detail,
  ]);
  const refusalTable = formatTable(
    ['TIME', 'CALL', 'ROOT', 'METHOD', 'CLASS', 'REASON', 'DETAIL'],
    refusalRows,
  );
  const limitTable = formatTable(['LIMIT', 'VALUE', 'UNIT', 'DETAIL'], limitRows);
  return `${refusalTable}\n\n${limitTable}`;
}

/**
 * `explain`: lists recorded refusals and unknown outcomes, of one root request if `id` is given,
 * and limits.
 */
export async function explainRefusals(
  context: CommandContext,
  id: string | undefined,
  maxRefusals: number,
): Promise<void> {
  const response = await context.client().explain({ id: id ?? '', limit: maxRefusals });
  context.printResponse(ExplainResponseSchema, response, formatExplanation(response));
  if (id !== undefined && response.refusals.length === 0) {
    context.fail(CliExitCode.notFound, `this daemon has no record of a refusal of ${id}`);
  }
}
