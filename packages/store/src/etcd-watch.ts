import { request } from 'undici';
import { watchAnswerSchema, type WatchAnswer } from './etcd-answers';
import { decodeEvent, encodeKeyRange } from './etcd-codec';
import type { EtcdConnection } from './etcd-connection';
import type { KeyQuery } from './key-query';
import type { Watch, WatchListener } from './key-value-store';

const MAX_LINE_CHARACTERS = 16 * 1_048_576;
const CONNECT_TIMEOUT_MS = 5_000;
const STATUS_OK = 200;

/** One streaming watch. It ends for good when the stream ends; its owner starts another. */
export class EtcdWatch implements Watch {
  private readonly abort = new AbortController();

  private rest = '';

  private ended = false;

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
    this.ended = true;
    this.abort.abort();
  }

  private async run(): Promise<void> {
    const { fromRevision, ...keys } = this.query;
    const answer = await request(`${this.connection.endpoint}/v3/watch`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        create_request: { ...encodeKeyRange(keys), start_revision: String(fromRevision) },
      }),
      dispatcher: this.connection.agent,
      signal: this.abort.signal,
      headersTimeout: CONNECT_TIMEOUT_MS,
      bodyTimeout: 0,
    });
    if (answer.statusCode !== STATUS_OK) {
      await answer.body.dump();
      return;
    }
    answer.body.setEncoding('utf8');
    for await (const chunk of answer.body) {
      this.receive(String(chunk));
      if (this.ended) return;
    }
  }

  private receive(chunk: string): void {
    const lines = (this.rest + chunk).split('\n');
    this.rest = lines.pop() ?? '';
    if (this.rest.length > MAX_LINE_CHARACTERS) this.end('lost');
    for (const line of lines) {
      if (line.trim() !== '' && !this.ended) this.receiveLine(line);
    }
  }

  private receiveLine(line: string): void {
    const parsed = watchAnswerSchema.safeParse(JSON.parse(line));
    if (!parsed.success) {
      this.end('lost');
      return;
    }
    this.receiveAnswer(parsed.data.result);
  }

  private receiveAnswer(answer: WatchAnswer): void {
    if (answer.canceled) {
      this.end(answer.compact_revision === undefined ? 'lost' : 'compacted');
      return;
    }
    if (answer.events.length === 0) return;
    this.listener.onEvents(answer.events.map(decodeEvent), Number(answer.header.revision ?? 0));
  }

  private end(reason: 'lost' | 'compacted'): void {
    if (this.ended) return;
    this.stop();
    this.connection.rotate();
    this.listener.onEnd(reason);
  }
}
