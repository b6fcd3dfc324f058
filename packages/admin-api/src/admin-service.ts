import {
  Code,
  ConnectError,
  createContextKey,
  type ContextKey,
  type HandlerContext,
  type ServiceImpl,
} from '@connectrpc/connect';
import { ChangeRefusal, refusedChange } from '@daisyferry/policies/change-outcome';
import type { Checked } from '@daisyferry/settings/check-settings';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import {
  changeMessage,
  differenceMessage,
  drainMessage,
  memberMessage,
  recordMessage,
  statusMessage,
} from './admin-messages';
import type { FleetAdmin } from './fleet-admin';
import type { AdministrationService } from './gen/daisyferry/admin/v1/administration_pb';
import type { Operator } from './operator-access';
import type { ComparedWith, PolicyAdmin } from './policy-admin';

const DEFAULT_PAGE = 20;
const MAX_PAGE = 200;
const DEFAULT_EVENTS = 1_000;
const MAX_EVENTS = 5_000;
const MAX_SHOWN_CHARACTERS = 120;

/** What the daemon gives the service to work on. */
export interface AdminBackend {
  readonly policies: PolicyAdmin;
  readonly fleet: FleetAdmin;
}

/** Carries the sender of a request to the methods. */
export const OPERATOR: ContextKey<Operator> = createContextKey<Operator>({
  kind: 'unknown',
  name: '',
});

function bounded(limit: number, fallback: number, most: number): number {
  return limit === 0 ? fallback : Math.min(limit, most);
}

function optionalText(text: string): string | undefined {
  return text === '' ? undefined : text;
}

function optionalRevision(revision: bigint): number | undefined {
  return revision === 0n ? undefined : Number(revision);
}

function required<Value>(result: StoreResult<Value>): Value {
  if (result.ok) return result.value;
  throw new ConnectError(`the store does not answer: ${result.detail}`, Code.Unavailable);
}

/** Reads a document's text; text that is no JSON is a problem of the document like any other. */
function parseDocument(text: string): Checked<unknown> {
  try {
    return { ok: true, value: JSON.parse(text) as unknown };
  } catch (error) {
    const expected = `JSON: ${error instanceof Error ? error.message : String(error)}`;
    const value = JSON.stringify(text.slice(0, MAX_SHOWN_CHARACTERS));
    return { ok: false, problems: [{ path: '', value, expected }] };
  }
}

/** The author of a change: the certificate's name, or what the request says if none is needed. */
function authorOf(context: HandlerContext, named: string): string {
  const operator = context.values.get(OPERATOR);
  if (operator.kind === 'trusted') return named;
  if (operator.kind === 'verified') return operator.name;
  throw new ConnectError(
    `operator '${operator.name}' may not change anything`,
    Code.PermissionDenied,
  );
}

function changeMethods(policies: PolicyAdmin) {
  return {
    async applyPolicy(request, context) {
      const author = authorOf(context, request.author);
      const { operationId, dryRun } = request;
      const parsed = parseDocument(request.document);
      if (!parsed.ok) {
        const { problems } = parsed;
        return changeMessage(refusedChange(operationId, ChangeRefusal.invalid, { problems }));
      }
      const document = parsed.value;
      const expectedRevision = Number(request.expectedRevision);
      return changeMessage(
        await policies.propose({ document, operationId, expectedRevision, author, dryRun }),
      );
    },
    async withdrawPolicy(request, context) {
      const author = authorOf(context, request.author);
      const { service, operationId, dryRun } = request;
      const expectedRevision = Number(request.expectedRevision);
      return changeMessage(
        await policies.withdraw({ service, operationId, expectedRevision, author, dryRun }),
      );
    },
    async settleChange({ operationId }, context) {
      authorOf(context, '');
      return changeMessage(await policies.settle(operationId));
    },
  } satisfies Partial<ServiceImpl<typeof AdministrationService>>;
}

function policyMethods(policies: PolicyAdmin) {
  return {
    async getPolicy({ service, revision }) {
      const record = required(await policies.policy(service, optionalRevision(revision)));
      return record === undefined ? {} : { record: recordMessage(record, true) };
    },
    listPolicies() {
      const { revision, records } = policies.policies();
      return {
        revision: BigInt(revision),
        records: records.map((record) => recordMessage(record, false)),
      };
    },
    async diffPolicy({ service, document, revision }) {
      const parsed = parseDocument(document === '' ? 'null' : document);
      if (!parsed.ok) return { problems: [...parsed.problems] };
      const other: ComparedWith =
        document === ''
          ? { kind: 'revision', revision: Number(revision) }
          : { kind: 'document', document: parsed.value };
      const { presentRevision, differences, problems } = required(
        await policies.compare(service, other),
      );
      return {
        presentRevision: BigInt(presentRevision),
        differences: differences.map(differenceMessage),
        problems: problems.map((problem) => ({ ...problem })),
      };
    },
    async history({ service, beforeRevision, limit }) {
      const { records, more } = required(
        await policies.history({
          service: optionalText(service),
          beforeRevision: optionalRevision(beforeRevision),
          limit: bounded(limit, DEFAULT_PAGE, MAX_PAGE),
        }),
      );
      return { records: records.map((record) => recordMessage(record, false)), more };
    },
  } satisfies Partial<ServiceImpl<typeof AdministrationService>>;
}

function fleetMethods(fleet: FleetAdmin) {
  return {
    listMembers({ service }) {
      return { members: fleet.members(optionalText(service)).map(memberMessage) };
    },
    async drain({ daemon, force }, context) {
      authorOf(context, '');
      return drainMessage(await fleet.drain(optionalText(daemon), force));
    },
    async status({ revision }) {
      return statusMessage(await fleet.status(optionalRevision(revision)));
    },
    explain({ id, limit }) {
      const { refusals, limits } = fleet.explain(
        optionalText(id),
        bounded(limit, DEFAULT_PAGE, MAX_PAGE),
      );
      return {
        refusals: refusals.map((refusal) => ({ ...refusal })),
        limits: limits.map((entry) => ({ ...entry })),
      };
    },
    readTimeline({ afterSequence, limit }) {
      const page = fleet.readTimeline(afterSequence, bounded(limit, DEFAULT_EVENTS, MAX_EVENTS));
      return { ...page, events: page.events.map((event) => ({ ...event })) };
    },
  } satisfies Partial<ServiceImpl<typeof AdministrationService>>;
}

/** The service of the administration schema over a daemon's backend. */
export function createAdminService({
  policies,
  fleet,
}: AdminBackend): ServiceImpl<typeof AdministrationService> {
  return { ...changeMethods(policies), ...policyMethods(policies), ...fleetMethods(fleet) };
}
