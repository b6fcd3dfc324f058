import { request } from 'undici';
import { watchResponseSchema, type EtcdWatchResult } from './etcd-responses';
import { decodeEvent, encodeKeyRange } from './etcd-codec';
import type { EtcdConnection } from './etcd-connection';
import type { KeyQuery } from './key-query';
import type { Watch, WatchListener } from './key-value-store';

const MAX_LINE_CHARACTERS = 16 * 1_048_576;
const CONNECT_TIMEOUT_MS = 5_000;
const STATUS_OK = 200;

/** A streaming watch. It does not reconnect: when the stream ends, its owner starts another. */
export class EtcdWatch implements Watch {
  private readonly abortController = new AbortController();

  private incompleteLine = '';

  private hasEnded = false;

  constructor(
    private readonly connection: EtcdConnection,
    private readonly query: KeyQuery & { readonly fromRevision: number },
    private readonly listener: WatchListener,
  ) {
    this.run().then(
      () => this.end('lost'),
      () => this.end('lost'),
    );
  }

  stop(): void {
    this.hasEnded = true;
    this.abortController.abort();
  }

  private async run(): Promise<void> {
    const { fromRevision, ...keys } = this.query;
    const response = await request(`${this.connection.endpoint}/v3/watch`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        create_request: { ...encodeKeyRange(keys), start_revision: String(fromRevision) },
      }),
      dispatcher: this.connection.agent,
      signal: this.abortController.signal,
      headersTimeout: CONNECT_TIMEOUT_MS,
      bodyTimeout: 0,
    });
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      return;
    }
    response.body.setEncoding('utf8');
    for await (const chunk of response.body) {
      this.receiveChunk(String(chunk));
      if (this.hasEnded) return;
    }
  }

  private receiveChunk(chunk: string): void {
    const lines = (this.incompleteLine + chunk).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    if (this.incompleteLine.length > MAX_LINE_CHARACTERS) this.end('lost');
    for (const line of lines) {
      if (line.trim() !== '' && !this.hasEnded) this.receiveLine(line);
    }
  }

  private receiveLine(line: string): void {
    const parsed = watchResponseSchema.safeParse(JSON.parse(line));
    if (!parsed.success) {
      this.end('lost');
      return;
    }
    this.receiveResult(parsed.data.result);
  }

  private receiveResult(result: EtcdWatchResult): void {
    if (result.canceled) {
      this.end(result.compact_revision === undefined ? 'lost' : 'compacted');
      return;
    }
    if (result.events.length === 0) return;
    this.listener.onEvents(result.events.map(decodeEvent), Number(result.header.revision ?? 0));
  }

  private end(reason: 'lost' | 'compacted'): void {
    if (this.hasEnded) return;
    this.stop();
    this.connection.switchEndpoint();
    this.listener.onEnd(reason);
  }
}
