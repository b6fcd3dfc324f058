import {
  Code,
  ConnectError,
  createContextKey,
  type ContextKey,
  type HandlerContext,
  type ServiceImpl,
} from '@connectrpc/connect';
import { ChangeRefusal, refusedChange } from '@daisyferry/policies/change-outcome';
import type { ValidationResult } from '@daisyferry/settings/check-document';
import type { StoreResult } from '@daisyferry/store/key-value-store';
import {
  toChangeResponse,
  toDifferenceMessage,
  toDrainResponse,
  toMemberMessage,
  toPolicyRecordMessage,
  toStatusResponse,
} from './admin-messages';
import type { FleetAdmin } from './fleet-admin';
import type { AdministrationService } from './gen/daisyferry/admin/v1/administration_pb';
import type { Operator } from './operator-access';
import type { ComparisonSource, PolicyAdmin } from './policy-admin';

const DEFAULT_PAGE_ENTRIES = 20;
const MAX_PAGE_ENTRIES = 200;
const DEFAULT_PAGE_EVENTS = 1_000;
const MAX_PAGE_EVENTS = 5_000;
const MAX_QUOTED_CHARACTERS = 120;

/** Parts of the daemon that implement the administration API. */
export interface AdminBackend {
  readonly policies: PolicyAdmin;
  readonly fleet: FleetAdmin;
}

/** Context value that holds the operator who sent the request. */
export const OPERATOR_CONTEXT_KEY: ContextKey<Operator> = createContextKey<Operator>({
  kind: 'unknown',
  name: '',
});

function clampLimit(limit: number, defaultLimit: number, maxLimit: number): number {
  return limit === 0 ? defaultLimit : Math.min(limit, maxLimit);
}

function emptyToUndefined(text: string): string | undefined {
  return text === '' ? undefined : text;
}

function zeroToUndefined(revision: bigint): number | undefined {
  return revision === 0n ? undefined : Number(revision);
}

function unwrapStoreResult<Value>(result: StoreResult<Value>): Value {
  if (result.ok) return result.value;
  throw new ConnectError(`the store does not answer: ${result.detail}`, Code.Unavailable);
}

/** Parses a policy document; invalid JSON is reported as a problem of the document. */
function parseDocument(text: string): ValidationResult<unknown> {
  try {
    return { ok: true, value: JSON.parse(text) as unknown };
  } catch (error) {
    const expected = `JSON: ${error instanceof Error ? error.message : String(error)}`;
    const value = JSON.stringify(text.slice(0, MAX_QUOTED_CHARACTERS));
    return { ok: false, problems: [{ path: '', value, expected }] };
  }
}

/**
 * Returns the author of a change: the name in the client certificate, or the author that the
 * request states if the listener needs no certificate. Throws if the operator may not make changes.
 */
function authorizeChange(context: HandlerContext, requestAuthor: string): string {
  const operator = context.values.get(OPERATOR_CONTEXT_KEY);
  if (operator.kind === 'trusted') return requestAuthor;
  if (operator.kind === 'verified') return operator.name;
  throw new ConnectError(
    `operator '${operator.name}' may not change anything`,
    Code.PermissionDenied,
  );
}

function changeMethods(policyAdmin: PolicyAdmin) {
  return {
    async applyPolicy(request, context) {
      const author = authorizeChange(context, request.author);
      const { operationId, dryRun } = request;
      const parsed = parseDocument(request.document);
      if (!parsed.ok) {
        const { problems } = parsed;
        return toChangeResponse(refusedChange(operationId, ChangeRefusal.invalid, { problems }));
      }
      const document = parsed.value;
      const expectedRevision = Number(request.expectedRevision);
      return toChangeResponse(
        await policyAdmin.propose({ document, operationId, expectedRevision, author, dryRun }),
      );
    },
    async withdrawPolicy(request, context) {
      const author = authorizeChange(context, request.author);
      const { service, operationId, dryRun } = request;
      const expectedRevision = Number(request.expectedRevision);
      return toChangeResponse(
        await policyAdmin.withdraw({ service, operationId, expectedRevision, author, dryRun }),
      );
    },
    async settleChange({ operationId }, context) {
      authorizeChange(context, '');
      return toChangeResponse(await policyAdmin.settle(operationId));
    },
  } satisfies Partial<ServiceImpl<typeof AdministrationService>>;
}

function policyMethods(policyAdmin: PolicyAdmin) {
  return {
    async getPolicy({ service, revision }) {
      const record = unwrapStoreResult(
        await policyAdmin.policy(service, zeroToUndefined(revision)),
      );
      return record === undefined ? {} : { record: toPolicyRecordMessage(record, true) };
    },
    listPolicies() {
      const { revision, records } = policyAdmin.policies();
      return {
        revision: BigInt(revision),
        records: records.map((record) => toPolicyRecordMessage(record, false)),
      };
    },
    async diffPolicy({ service, document, revision }) {
      const parsed = parseDocument(document === '' ? 'null' : document);
      if (!parsed.ok) return { problems: [...parsed.problems] };
      const comparisonSource: ComparisonSource =
        document === ''
          ? { kind: 'revision', revision: Number(revision) }
          : { kind: 'document', document: parsed.value };
      const { presentRevision, differences, problems } = unwrapStoreResult(
        await policyAdmin.compare(service, comparisonSource),
      );
      return {
        presentRevision: BigInt(presentRevision),
        differences: differences.map(toDifferenceMessage),
        problems: problems.map((problem) => ({ ...problem })),
      };
    },
    async history({ service, beforeRevision, limit }) {
      const { records, more } = unwrapStoreResult(
        await policyAdmin.history({
          service: emptyToUndefined(service),
          beforeRevision: zeroToUndefined(beforeRevision),
          limit: clampLimit(limit, DEFAULT_PAGE_ENTRIES, MAX_PAGE_ENTRIES),
        }),
      );
      return { records: records.map((record) => toPolicyRecordMessage(record, false)), more };
    },
  } satisfies Partial<ServiceImpl<typeof AdministrationService>>;
}

function fleetMethods(fleetAdmin: FleetAdmin) {
  return {
    listMembers({ service }) {
      return { members: fleetAdmin.members(emptyToUndefined(service)).map(toMemberMessage) };
    },
    async drain({ daemon, force }, context) {
      authorizeChange(context, '');
      return toDrainResponse(await fleetAdmin.drain(emptyToUndefined(daemon), force));
    },
    async status({ revision }) {
      return toStatusResponse(await fleetAdmin.status(zeroToUndefined(revision)));
    },
    explain({ id, limit }) {
      const { refusals, limits } = fleetAdmin.explain(
        emptyToUndefined(id),
        clampLimit(limit, DEFAULT_PAGE_ENTRIES, MAX_PAGE_ENTRIES),
      );
      return {
        refusals: refusals.map((refusal) => ({ ...refusal })),
        limits: limits.map((entry) => ({ ...entry })),
      };
    },
    readTimeline({ afterSequence, limit }) {
      const page = fleetAdmin.readTimeline(
        afterSequence,
        clampLimit(limit, DEFAULT_PAGE_EVENTS, MAX_PAGE_EVENTS),
      );
      return { ...page, events: page.events.map((event) => ({ ...event })) };
    },
  } satisfies Partial<ServiceImpl<typeof AdministrationService>>;
}

/** Creates the Connect implementation of the administration service. */
export function createAdminService({
  policies,
  fleet,
}: AdminBackend): ServiceImpl<typeof AdministrationService> {
  return { ...changeMethods(policies), ...policyMethods(policies), ...fleetMethods(fleet) };
}
