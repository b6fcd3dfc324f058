import { Header } from '@daisyferry/model/headers';
import type { OutcomeName } from '@daisyferry/model/outcome';
import { request, type Dispatcher } from 'undici';
import type { ServiceCall } from './deployment';
import { BenchHeader, type NestedCallOutcome } from './records';

/** Values that a nested call copies from its parent call. */
export interface NestedCallContext {
  readonly request: string;
  readonly callKey: string;
  readonly contextHeader: string | undefined;
  readonly signal: AbortSignal;
}

export interface NestedCallResult {
  readonly isOk: boolean;
  readonly reportedOutcome: NestedCallOutcome;
}

/** Returns the base URL to which nested calls of a service are sent. */
export type NestedUrlResolver = (service: string) => string;

function reportedOutcomeOf(
  status: number,
  outcomeHeader: string | string[] | undefined,
): NestedCallOutcome['outcome'] {
  if (typeof outcomeHeader === 'string') return outcomeHeader as OutcomeName;
  return status === 200 ? 'completed' : 'none';
}

/** Makes the nested calls of one stand-in target. Sends each once; the daemon does the retries. */
export class NestedCaller {
  constructor(
    private readonly urlOf: NestedUrlResolver,
    private readonly dispatcher: Dispatcher,
  ) {}

  async sendOnce(call: ServiceCall, context: NestedCallContext): Promise<NestedCallResult> {
    const url = this.urlOf(call.service);
    try {
      const response = await request(`${url}${call.path}`, {
        method: call.httpMethod,
        headers: this.headers(call, context),
        body: call.httpMethod === 'POST' ? JSON.stringify({ request: context.request }) : null,
        signal: context.signal,
        dispatcher: this.dispatcher,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      await response.body.arrayBuffer();
      const outcome = reportedOutcomeOf(response.statusCode, response.headers[Header.outcome]);
      const reason = String(response.headers[Header.reason] ?? response.statusCode);
      return {
        isOk: response.statusCode === 200,
        reportedOutcome: { callKey: context.callKey, outcome, reason },
      };
    } catch (error) {
      return this.lostResult(context, String(error));
    }
  }

  private lostResult({ callKey }: NestedCallContext, reason: string): NestedCallResult {
    return { isOk: false, reportedOutcome: { callKey, outcome: 'lost', reason } };
  }

  private headers(call: ServiceCall, context: NestedCallContext): Record<string, string> {
    return {
      [Header.service]: call.service,
      [BenchHeader.request]: context.request,
      [BenchHeader.callKey]: context.callKey,
      ...(context.contextHeader === undefined ? {} : { [Header.context]: context.contextHeader }),
      ...(call.httpMethod === 'POST' ? { 'content-type': 'application/json' } : {}),
    };
  }
}
