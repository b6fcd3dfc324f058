import { AccountIndex } from '@daisyferry/accounts/account-index';
import {
  identifyRequest,
  IdentificationProblem,
  type IdentificationProblemName,
} from '@daisyferry/accounts/identify-request';
import { fieldValue, fieldValues, type HeaderFields } from '@daisyferry/http1/message';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import type { ClientAccount } from '@daisyferry/mesh/client-account';
import { boundedRetryAfterMs } from '@daisyferry/mesh/retry-after';
import type { RouteTable } from '@daisyferry/mesh/route-table';
import type { Route } from '@daisyferry/mesh/routing-configuration';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { daemonResponse, DaemonResponseReason } from './daemon-response';
import type { EventLog } from './event-log';
import type { FreshnessKeeper } from './freshness-keeper';
import type { HeaderNames } from './header-names';
import type { SidecarMetrics } from './sidecar-metrics';

export interface CallerIdentificationParts {
  readonly freshness: Pick<FreshnessKeeper, 'ageMs' | 'awaitsFirstProof' | 'isProven'>;
  readonly headerNames: HeaderNames;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: SidecarMetrics;
}

export type CallerIdentity =
  | { readonly kind: 'accepted'; readonly account: ClientAccount | undefined }
  | { readonly kind: 'refused'; readonly response: ResponseParts };

const WITHOUT_ACCOUNT: CallerIdentity = { kind: 'accepted', account: undefined };
const NO_ACCOUNTS = new AccountIndex([]);
/** Time in which a daemon that is in touch with the store or its peers renews its knowledge. */
const RENEWAL_MS = 1_000;

/** Attributes the requests of callers to client accounts. Keys of accounts are not passed on. */
export class CallerIdentification {
  private accounts = NO_ACCOUNTS;

  private indexedRoutes: RouteTable | undefined;

  private readonly credentialField: string;

  constructor(private readonly parts: CallerIdentificationParts) {
    this.credentialField = parts.headerNames.authorization.toLowerCase();
  }

  /** `remainingMs` is the time until the caller's deadline. */
  identify(
    routes: RouteTable,
    route: Route,
    fields: HeaderFields,
    remainingMs: number,
  ): CallerIdentity {
    if (!routes.hasAccounts) {
      if (!this.parts.freshness.awaitsFirstProof()) return WITHOUT_ACCOUNT;
      const { unprovenConfiguration } = IdentificationProblem;
      return this.refuse(unprovenConfiguration, routes, route, fields, remainingMs);
    }
    const identification = identifyRequest(
      {
        isPublicRoute: route.isPublic,
        credentials: fieldValues(fields, this.credentialField),
        isConfigurationProven: this.parts.freshness.isProven(),
      },
      this.accountsOf(routes),
    );
    switch (identification.kind) {
      case 'anonymous':
        return WITHOUT_ACCOUNT;
      case 'identified':
        return { kind: 'accepted', account: identification.account };
      case 'refused':
        return this.refuse(identification.problem, routes, route, fields, remainingMs);
      default:
        return identification satisfies never;
    }
  }

  private accountsOf(routes: RouteTable): AccountIndex {
    if (this.indexedRoutes !== routes) {
      this.indexedRoutes = routes;
      this.accounts = new AccountIndex(routes.configuration.accounts);
    }
    return this.accounts;
  }

  private refuse(
    problem: IdentificationProblemName,
    routes: RouteTable,
    route: Route,
    fields: HeaderFields,
    remainingMs: number,
  ): CallerIdentity {
    const { freshness, headerNames, random, log, metrics } = this.parts;
    const isUnproven = problem === IdentificationProblem.unprovenConfiguration;
    const answer = isUnproven
      ? DaemonResponseReason.unprovenConfiguration
      : DaemonResponseReason.notIdentified;
    const roomInMs = isUnproven ? boundedRetryAfterMs(RENEWAL_MS, remainingMs, random()) : 0;
    metrics.recordRequest(route.name, answer, 0);
    metrics.countUnidentified(problem);
    log.decision('request not attributed to an account', {
      requestId: fieldValue(fields, headerNames.requestId.toLowerCase()) ?? '',
      route: route.name,
      answer,
      detail: problem,
      configuration: routes.configuration.version,
      ageMs: Math.round(freshness.ageMs()),
      roomInMs: Math.round(roomInMs),
    });
    return { kind: 'refused', response: daemonResponse(answer, roomInMs) };
  }
}
