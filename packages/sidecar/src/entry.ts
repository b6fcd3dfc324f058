import type { QuotaGate } from '@daisyferry/accounts/quota-gate';
import { detachedText } from '@daisyferry/http1/detached-text';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import { endToEndFields, isUnframed } from '@daisyferry/http1/message-writer';
import type { HeaderFields, RequestMessage } from '@daisyferry/http1/message';
import { fieldValue } from '@daisyferry/http1/message';
import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import type { CallTrees } from '@daisyferry/mesh/call-trees';
import type { ClassInversions } from '@daisyferry/mesh/class-inversions';
import type { CrashSuspects } from '@daisyferry/mesh/crash-suspects';
import type { DownstreamShedLevels } from '@daisyferry/mesh/downstream-shed-levels';
import type { RouteFailureGate } from '@daisyferry/mesh/route-failure-gate';
import { nestedPriority, type NestedOrigin } from '@daisyferry/mesh/nested-origin';
import { requestPriority } from '@daisyferry/mesh/request-priority';
import type { RetryAfterPlan } from '@daisyferry/mesh/retry-after-plan';
import type { RouteTable } from '@daisyferry/mesh/route-table';
import type { DestinationSelector } from '@daisyferry/mesh/destination-selector';
import type { StopPlan } from '@daisyferry/mesh/stop-plan';
import type { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import type { TreeAdmission } from '@daisyferry/mesh/tree-admission';
import type { TargetChooser } from '@daisyferry/mesh/target-chooser';
import { UnframedRoutes } from '@daisyferry/mesh/unframed-routes';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { CancellableCall } from '@daisyferry/peering/peer-link';
import type { CallerIdentification } from './caller-identification';
import { CallerRequest } from './caller-request';
import type { EventLog } from './event-log';
import type { HeaderNames } from './header-names';
import type { RetryBudget } from './retry-budget';
import type { SidecarMetrics } from './sidecar-metrics';
import { daemonResponse, DaemonResponseReason } from './daemon-response';

/** Sends calls to the homes of targets, including this daemon's own home. */
export interface HomeTransport {
  send(
    daemonId: string,
    call: ForwardedCall,
    body: Buffer,
    deliver: (reply: CallReply) => void,
  ): CancellableCall;
}

export interface SidecarEntryParts {
  readonly routes: () => RouteTable | undefined;
  readonly destinations: DestinationSelector;
  readonly chooser: TargetChooser;
  readonly targetNotices: TargetNoticeTable;
  readonly suspects: CrashSuspects;
  readonly downstreamLevels: DownstreamShedLevels;
  readonly random: RandomSource;
  readonly failureGate: RouteFailureGate;
  readonly callTrees: CallTrees;
  readonly treeAdmission: TreeAdmission;
  readonly classInversions: ClassInversions;
  readonly retryBudget: RetryBudget;
  /** The run of the local target that makes the call with this id; undefined if it is not known. */
  readonly originOf: (requestId: string) => NestedOrigin | undefined;
  readonly returnPlan: RetryAfterPlan;
  /** Quotas of client accounts; undefined where none are kept. */
  readonly quotas?: QuotaGate | undefined;
  readonly transport: HomeTransport;
  readonly headerNames: HeaderNames;
  /** Service that requests from this instance are attributed to. */
  readonly callerService: string;
  /** Unique for this process, so that keys built from it never occur at another entry. */
  readonly attemptKeyPrefix: string;
  readonly stopPlan: StopPlan;
  readonly log: EventLog;
  readonly metrics: SidecarMetrics;
  readonly clock: () => number;
}

/** A caller's request in progress. */
export interface CancellableRequest {
  /** Time until which the caller waits for its response. */
  readonly callerDeadlineMs: number;
  /** Called when the caller has disconnected. */
  cancel(): void;
}

export type Respond = (response: ResponseParts) => void;

/** Timeout of requests that do not state a deadline. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Time between two checks of the deadlines of the requests in progress. */
const SWEEP_INTERVAL_MS = 20;

/**
 * The entry side of the sidecar daemon: accepts the requests of callers on this instance and
 * forwards each to the home of a target.
 */
export class Entry {
  private readonly activeRequests = new Set<CallerRequest>();

  private readonly replacedFields: ReadonlySet<string>;

  /** Those where the configuration has client accounts. */
  private readonly replacedWithAccounts: ReadonlySet<string>;

  private readonly unframedRoutes = new UnframedRoutes();

  private attemptCount = 0;

  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly parts: SidecarEntryParts,
    private readonly identification: CallerIdentification,
  ) {
    const { deadline, expectedTarget, callerService, authorization, account } = parts.headerNames;
    const lowerCase = (names: readonly string[]) => names.map((name) => name.toLowerCase());
    this.replacedFields = new Set(lowerCase([deadline, expectedTarget, callerService]));
    this.replacedWithAccounts = new Set([
      ...this.replacedFields,
      ...lowerCase([authorization, account]),
    ]);
  }

  get activeCount(): number {
    return this.activeRequests.size;
  }

  /** Answers the requests that are not at a home, as the daemon stops. */
  refuseUnsent(nowMs: number): void {
    for (const callerRequest of [...this.activeRequests]) callerRequest.refuseUnsent(nowMs);
  }

  /** True if the request may run beside others of its connection, as its order has no effect. */
  mayRunAhead({ head }: RequestMessage): boolean {
    const route = this.parts.routes()?.find(head.host, head.target);
    if (route === undefined) return true;
    return route.isIdempotent && !this.unframedRoutes.has(route.name, this.parts.clock());
  }

  /** The deadlines of the request count from `readMs`, when its last byte was read. */
  handle(
    request: RequestMessage,
    respond: Respond,
    readMs: number,
  ): CancellableRequest | undefined {
    const { head, body } = request;
    const { headerNames, metrics, destinations, clock } = this.parts;
    const routes = this.parts.routes();
    if (routes === undefined) {
      respond(daemonResponse(DaemonResponseReason.noConfiguration, 0));
      return undefined;
    }
    const route = routes.find(head.host, head.target);
    if (route === undefined) {
      metrics.recordRequest('none', DaemonResponseReason.noRoute, 0);
      this.parts.log.decision('no route matches the request', {
        host: head.host,
        target: head.target,
      });
      respond(daemonResponse(DaemonResponseReason.noRoute, 0));
      return undefined;
    }
    if (route.destinations.length === 0) {
      metrics.recordRequest(route.name, DaemonResponseReason.unreadableRoute, 0);
      respond(daemonResponse(DaemonResponseReason.unreadableRoute, 0));
      return undefined;
    }
    const callerTimeoutMs = this.callerTimeoutMs(head.fields);
    const identity = this.identification.identify(routes, route, head.fields, callerTimeoutMs);
    if (identity.kind === 'refused') {
      respond(identity.response);
      return undefined;
    }
    const nowMs = clock();
    const attemptKey = this.nextAttemptKey();
    const { account } = identity;
    // Execution records and connections to targets remember the id.
    const callerId = detachedText(
      fieldValue(head.fields, headerNames.requestId.toLowerCase()) ?? '',
    );
    const origin = this.parts.originOf(callerId);
    const priority =
      origin === undefined
        ? requestPriority(route, account, routes.hasAccounts)
        : nestedPriority(origin);
    const replacedFields = routes.hasAccounts ? this.replacedWithAccounts : this.replacedFields;
    const fields = endToEndFields(head.fields, replacedFields);
    const callerRequest = new CallerRequest(
      {
        // Without an id of its own, an attempt would share the record of another.
        requestId: callerId === '' ? attemptKey : callerId,
        attemptKey,
        route,
        priority,
        account,
        origin,
        service: destinations.nextService(route),
        configurationVersion: routes.configuration.version,
        classesBelow: routes.classesBelow(Math.ceil(priority)),
        method: head.method,
        path: head.target,
        fields,
        body,
        arrivedMs: readMs,
        callerDeadlineMs: readMs + callerTimeoutMs,
        routeDeadlineMs: readMs + route.timeoutMs,
      },
      this.parts,
      (response) => {
        this.activeRequests.delete(callerRequest);
        if (isUnframed(response)) this.unframedRoutes.record(route.name, clock());
        respond(response);
      },
    );
    this.activeRequests.add(callerRequest);
    callerRequest.start(nowMs);
    if (this.activeRequests.size > 0) this.scheduleSweep();
    return {
      callerDeadlineMs: readMs + callerTimeoutMs,
      cancel: () => {
        if (this.activeRequests.delete(callerRequest)) callerRequest.cancel(clock());
      },
    };
  }

  /** Time for which the caller waits for its response. */
  private callerTimeoutMs(fields: HeaderFields): number {
    const name = this.parts.headerNames.deadline.toLowerCase();
    const requestedMs = Number(fieldValue(fields, name));
    return Number.isFinite(requestedMs) && requestedMs > 0 ? requestedMs : DEFAULT_DEADLINE_MS;
  }

  private nextAttemptKey(): string {
    this.attemptCount += 1;
    return `${this.parts.attemptKeyPrefix}${this.attemptCount}`;
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      const nowMs = this.parts.clock();
      try {
        for (const callerRequest of this.activeRequests) callerRequest.checkDeadline(nowMs);
      } finally {
        if (this.activeRequests.size > 0) this.scheduleSweep();
      }
    }, SWEEP_INTERVAL_MS);
  }
}
