import type { Member, MemberDirectory } from '@daisyferry/model/member';
import { Outcome, RefusalReason, UnknownReason } from '@daisyferry/model/outcome';
import type { MethodRule } from '@daisyferry/model/policy';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import { matchMethod } from '@daisyferry/policies/method-matcher';
import type { CallResult, HomeClient, PeerCall, SendResult } from './call-message';
import { CancelReason } from './cancellation';
import type { EntryPoint, EntryRequest, EntryResponse } from './entry-call';
import { refusal, unknownOutcome } from './results';

/** Retries per hop, a common default of service meshes with retries enabled. */
const RETRIES_PER_HOP = 3;
/** Retry delay while no instance is known. */
const RETRY_LATER_MS = 1_000;
/** Timeout of an attempt of a call without a rule. */
const DEFAULT_TIMEOUT_MS = 1_500;

export interface PassThroughParts {
  readonly policies: PolicyTable;
  readonly directory: MemberDirectory;
  readonly homeClient: HomeClient;
  readonly scheduler: Scheduler;
  readonly random: RandomSource;
  readonly newId: () => string;
}

function isFinal(sent: SendResult): boolean {
  return sent.kind === 'replied' && sent.result.outcome === Outcome.completed;
}

function resultOf(sent: SendResult): CallResult {
  return sent.kind === 'replied' ? sent.result : unknownOutcome(UnknownReason.homeLost);
}

/** Baseline entry without overload control: a random instance, a timeout, three retries per hop. */
export class PassThroughEntry implements EntryPoint {
  constructor(private readonly parts: PassThroughParts) {}

  async handle(request: EntryRequest): Promise<EntryResponse> {
    const rootId =
      request.origin.kind === 'nested' ? request.origin.parent.rootId : this.parts.newId();
    const result = await this.attempt(request, rootId);
    return { result, rootId, className: undefined, ticket: undefined };
  }

  private async attempt(request: EntryRequest, rootId: string): Promise<CallResult> {
    let result: CallResult = refusal(RefusalReason.noTarget, RETRY_LATER_MS);
    for (let attempt = 1; attempt <= 1 + RETRIES_PER_HOP; attempt += 1) {
      if (request.cancellation.reason !== undefined) return result;
      const home = this.pickRandomHome(request.service);
      if (home === undefined) return result;
      const sent = await this.send(home, request, rootId, attempt);
      result = resultOf(sent);
      if (isFinal(sent) || request.content.body.kind === 'stream') return result;
    }
    return result;
  }

  private async send(
    home: Member,
    request: EntryRequest,
    rootId: string,
    attempt: number,
  ): Promise<SendResult> {
    const timeoutMs = this.ruleOf(request)?.defaultDeadlineMs ?? DEFAULT_TIMEOUT_MS;
    const { cancellation, detach } = request.cancellation.child();
    const timer = this.parts.scheduler.after(timeoutMs, () =>
      cancellation.cancel(CancelReason.deadlinePassed),
    );
    const call: PeerCall = {
      service: request.service,
      content: request.content,
      rootId,
      callId: this.parts.newId(),
      parentCallId: undefined,
      rank: 0,
      tokens: 0,
      attempt,
      remainingMs: timeoutMs,
      ticket: undefined,
    };
    const sent = await this.parts.homeClient.send(home, call, cancellation);
    const isStreamed =
      sent.kind === 'replied' && 'body' in sent.result && sent.result.body.kind === 'stream';
    if (!isStreamed) {
      timer.cancel();
      detach();
    }
    return sent;
  }

  private ruleOf(request: EntryRequest): MethodRule | undefined {
    const policy = this.parts.policies.policyOf(request.service)?.policy ?? undefined;
    if (policy === undefined) return undefined;
    return matchMethod(policy, request.content.httpMethod, request.content.path);
  }

  private pickRandomHome(service: string): Member | undefined {
    const members = this.parts.directory.membersOf(service);
    const serving = members.filter(
      ({ member }) => member.targetState === 'serving' || member.targetState === 'warming',
    );
    return serving[Math.floor(this.parts.random() * serving.length)]?.member;
  }
}
