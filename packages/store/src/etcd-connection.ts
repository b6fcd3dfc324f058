import { Agent, request } from 'undici';
import type { z } from 'zod';
import type { StoreResult } from './key-value-store';
import { refusedFailure, undecidedFailure } from './store-failure';

const MAX_CONNECTIONS_PER_ENDPOINT = 8;
const FIRST_SERVER_ERROR = 500;
const STATUS_OK = 200;

/** Errors raised before the request was sent: the call cannot have taken effect. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) return '';
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}

function errorText(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}

/** What a failed call means: a read changes nothing, so that its failure is always a refusal. */
export const CallKind = { read: 'read', write: 'write' } as const;

export type CallKindName = (typeof CallKind)[keyof typeof CallKind];

export interface EtcdCall<Schema extends z.ZodType> {
  readonly path: string;
  readonly body: object;
  readonly kind: CallKindName;
  readonly schema: Schema;
  readonly timeoutMs: number;
}

/**
 * Sends calls to one of several endpoints. A request is sent at most once: another endpoint is
 * tried only when no connection could be made.
 */
export class EtcdConnection {
  private preferred = 0;

  readonly agent = new Agent({
    connections: MAX_CONNECTIONS_PER_ENDPOINT,
    pipelining: 1,
  });

  constructor(private readonly endpoints: readonly string[]) {}

  /** The endpoint in use, or undefined when the settings name none. */
  get endpoint(): string | undefined {
    return this.endpoints[this.preferred];
  }

  /** Turns to the next endpoint, after the present one has failed. */
  rotate(): void {
    this.preferred = this.endpoints.length === 0 ? 0 : (this.preferred + 1) % this.endpoints.length;
  }

  async call<Schema extends z.ZodType>(
    call: EtcdCall<Schema>,
  ): Promise<StoreResult<z.output<Schema>>> {
    const signal = AbortSignal.timeout(call.timeoutMs);
    let failure = 'no endpoint is set';
    for (let tried = 0; tried < this.endpoints.length; tried += 1) {
      try {
        return await this.send(call, signal);
      } catch (error) {
        this.rotate();
        failure = errorText(error);
        if (!UNSENT_CODES.has(errorCode(error))) return this.failed(call.kind, failure);
      }
    }
    return refusedFailure(failure);
  }

  private async send<Schema extends z.ZodType>(
    { path, body, kind, schema }: EtcdCall<Schema>,
    signal: AbortSignal,
  ): Promise<StoreResult<z.output<Schema>>> {
    const answer = await request(`${this.endpoint}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher: this.agent,
      signal,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== STATUS_OK) {
      const detail = `status ${answer.statusCode}: ${text}`;
      return answer.statusCode < FIRST_SERVER_ERROR
        ? refusedFailure(detail)
        : this.failed(kind, detail);
    }
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) return this.failed(kind, `unreadable answer: ${parsed.error.message}`);
    return { ok: true, value: parsed.data };
  }

  private failed(kind: CallKindName, detail: string) {
    return kind === CallKind.read ? refusedFailure(detail) : undecidedFailure(detail);
  }
}
