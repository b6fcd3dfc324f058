import { Header } from '@daisyferry/model/headers';
import type { OutcomeName } from '@daisyferry/model/outcome';
import { request, type Dispatcher } from 'undici';
import type { NestedCall } from './deployment';
import { BenchHeader, type NestedTold } from './records';

/** What a nested call needs of the call that it belongs to. */
export interface NestedContext {
  readonly request: string;
  readonly callKey: string;
  readonly context: string | undefined;
  readonly signal: AbortSignal;
}

export interface NestedResult {
  readonly ok: boolean;
  readonly told: NestedTold;
}

/** Base URL of the server that takes the nested calls for a service. */
export type NestedRoute = (service: string) => string;

function toldBy(status: number, header: string | string[] | undefined): NestedTold['outcome'] {
  if (typeof header === 'string') return header as OutcomeName;
  return status === 200 ? 'completed' : 'none';
}

/** Makes the nested calls of one stand-in target. Sends each once; repeats are the daemon's. */
export class NestedCaller {
  constructor(
    private readonly route: NestedRoute,
    private readonly dispatcher: Dispatcher,
  ) {}

  async send(call: NestedCall, context: NestedContext): Promise<NestedResult> {
    const url = this.route(call.service);
    try {
      const answer = await request(`${url}${call.path}`, {
        method: call.httpMethod,
        headers: this.headers(call, context),
        body: call.httpMethod === 'POST' ? JSON.stringify({ request: context.request }) : null,
        signal: context.signal,
        dispatcher: this.dispatcher,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      await answer.body.arrayBuffer();
      const outcome = toldBy(answer.statusCode, answer.headers[Header.outcome]);
      const reason = String(answer.headers[Header.reason] ?? answer.statusCode);
      return { ok: answer.statusCode === 200, told: { callKey: context.callKey, outcome, reason } };
    } catch (error) {
      return this.lost(context, String(error));
    }
  }

  private lost({ callKey }: NestedContext, reason: string): NestedResult {
    return { ok: false, told: { callKey, outcome: 'lost', reason } };
  }

  private headers(call: NestedCall, context: NestedContext): Record<string, string> {
    return {
      [Header.service]: call.service,
      [BenchHeader.request]: context.request,
      [BenchHeader.callKey]: context.callKey,
      ...(context.context === undefined ? {} : { [Header.context]: context.context }),
      ...(call.httpMethod === 'POST' ? { 'content-type': 'application/json' } : {}),
    };
  }
}
