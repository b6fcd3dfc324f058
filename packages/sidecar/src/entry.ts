import type { ResponseParts } from '@daisyferry/http1/message-writer';
import { endToEndFields } from '@daisyferry/http1/message-writer';
import type { RequestMessage } from '@daisyferry/http1/message';
import { fieldValue } from '@daisyferry/http1/message';
import type { CallReply, MeshCall } from '@daisyferry/mesh/call';
import type { DownstreamLevel } from '@daisyferry/mesh/downstream-level';
import type { RouteTable } from '@daisyferry/mesh/route-table';
import type { SplitWheels } from '@daisyferry/mesh/split-wheels';
import type { TargetChooser } from '@daisyferry/mesh/target-chooser';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { SentCall } from '@daisyferry/peering/peer-link';
import { EntryCall } from './entry-call';
import type { EventLog } from './event-log';
import type { HeaderNames } from './header-names';
import type { RetryBudget } from './retry-budget';
import type { SidecarMetrics } from './sidecar-metrics';
import { ownAnswer, OwnAnswerReason } from './own-answer';

/** Carries calls to the homes of targets, this daemon's own home among them. */
export interface HomeTransport {
  send(
    daemonId: string,
    call: MeshCall,
    body: Buffer,
    deliver: (reply: CallReply) => void,
  ): SentCall;
}

export interface EntryParts {
  readonly routes: () => RouteTable | undefined;
  readonly wheels: SplitWheels;
  readonly chooser: TargetChooser;
  readonly downstream: DownstreamLevel;
  readonly random: RandomSource;
  readonly budget: RetryBudget;
  readonly transport: HomeTransport;
  readonly headerNames: HeaderNames;
  /** Service in whose name requests from this instance are made. */
  readonly callerService: string;
  readonly log: EventLog;
  readonly metrics: SidecarMetrics;
  readonly clock: () => number;
}

/** A caller's request in progress. */
export interface EntryRequest {
  /** The caller has gone. */
  abandon(): void;
}

export type Answer = (parts: ResponseParts) => void;

/** Longest time that a request without a deadline is kept, in ms. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Time between two looks at the deadlines of the requests in progress, in ms. */
const SWEEP_MS = 20;

/** The part of a daemon that takes callers' requests and finds a target for each. */
export class Entry {
  private readonly active = new Set<EntryCall>();

  private readonly replacedFields: ReadonlySet<string>;

  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(readonly parts: EntryParts) {
    const { deadline, expectedTarget, callerService } = parts.headerNames;
    this.replacedFields = new Set(
      [deadline, expectedTarget, callerService].map((name) => name.toLowerCase()),
    );
  }

  get activeCount(): number {
    return this.active.size;
  }

  handle(request: RequestMessage, answer: Answer): EntryRequest | undefined {
    const { head, body } = request;
    const { headerNames, metrics, wheels, clock } = this.parts;
    const routes = this.parts.routes();
    if (routes === undefined) {
      answer(ownAnswer(OwnAnswerReason.noConfiguration, 0));
      return undefined;
    }
    const route = routes.find(head.host, head.target);
    if (route === undefined) {
      metrics.countAnswer('none', OwnAnswerReason.noRoute, 0);
      this.parts.log.decision('no route', { host: head.host, target: head.target });
      answer(ownAnswer(OwnAnswerReason.noRoute, 0));
      return undefined;
    }
    const nowMs = clock();
    const requestId = fieldValue(head.fields, headerNames.requestId.toLowerCase()) ?? '';
    const given = Number(fieldValue(head.fields, headerNames.deadline.toLowerCase()));
    const callerMs = Number.isFinite(given) && given > 0 ? given : DEFAULT_DEADLINE_MS;
    const fields = endToEndFields(head.fields, this.replacedFields);
    const call = new EntryCall(
      {
        requestId,
        route,
        service: wheels.next(route),
        configurationVersion: routes.configuration.version,
        classesBelow: routes.classesBelow(route.priority),
        method: head.method,
        path: head.target,
        fields,
        body,
        arrivedMs: nowMs,
        callerDeadlineMs: nowMs + callerMs,
        routeDeadlineMs: nowMs + route.timeoutMs,
      },
      this.parts,
      (parts) => {
        this.active.delete(call);
        answer(parts);
      },
    );
    this.active.add(call);
    call.start(nowMs);
    if (this.active.size > 0) this.armSweep();
    return {
      abandon: () => {
        if (this.active.delete(call)) call.abandon(clock());
      },
    };
  }

  private armSweep(): void {
    this.sweepTimer ??= setTimeout(() => {
      this.sweepTimer = undefined;
      const nowMs = this.parts.clock();
      for (const call of this.active) call.checkDeadline(nowMs);
      if (this.active.size > 0) this.armSweep();
    }, SWEEP_MS);
  }
}
