import { createConnection } from 'node:net';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { readAnswers } from './answers.mjs';
import { hasTrouble } from './case.mjs';
import { HOST, READ_PATH } from './fleet.mjs';

/** Time for which a slow client rests after each piece that it has read, of 64 KB at most. */
const READ_PAUSE_MS = 400;
/** Deadline of the safe requests of the site file. */
export const DEADLINE_MS = 5_000;

/** A client that sends further requests before the first is answered; if it `isSlow`, it rests between reads. */
export class AheadClient {
  sent = [];

  chunks = [];

  end = 'none';

  endMs = undefined;

  constructor(daemon, name, record, isSlow = hasTrouble) {
    Object.assign(this, { name, record });
    this.socket = createConnection({ host: daemon.ip, port: daemon.ports.outbound });
    this.socket.on('data', (chunk) => {
      this.chunks.push(chunk);
      if (!isSlow) return;
      this.socket.pause();
      setTimeout(() => this.socket.resume(), READ_PAUSE_MS);
    });
    this.socket.on('end', () => this.#finish('fin'));
    this.socket.on('error', ({ code }) => this.#finish(code));
  }

  #finish(end) {
    if (this.end !== 'none') return;
    this.end = end;
    this.endMs = this.record.nowMs();
  }

  send(part) {
    const id = `${this.name}-${this.sent.length + 1}`;
    const target = `${READ_PATH}${part}`;
    this.sent.push({ id, atMs: this.record.nowMs() });
    this.record.add('send', { id, path: target });
    this.socket.write(
      `GET ${target} HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\nX-Deadline-Remaining: ${DEADLINE_MS}\r\n\r\n`,
    );
  }

  /** Sends further requests until the connection has ended, or the first deadline has passed. */
  async goOn(gapMs, part) {
    const endMs = this.sent[0].atMs + DEADLINE_MS;
    while (this.end === 'none' && this.record.nowMs() < endMs) {
      await sleep(gapMs);
      if (this.end === 'none') this.send(part);
    }
  }

  /** Requests that were passed on, and had time left when the connection ended without their answers. */
  lostOf(ranIds) {
    const answers = readAnswers(this).filter(({ isWhole }) => isWhole);
    for (const { id, status, body } of answers)
      this.record.add('answer', { id, status, bytes: body.length });
    const answeredIds = new Set(answers.map(({ id }) => id));
    const lost = this.sent.filter(
      ({ id, atMs }) =>
        ranIds.has(id) && !answeredIds.has(id) && (this.endMs ?? Infinity) < atMs + DEADLINE_MS,
    );
    this.record.add('connection', {
      name: this.name,
      sent: this.sent.length,
      answered: answers.length,
      end: this.end,
      endedAfterMs: Math.round((this.endMs ?? 0) - this.sent[0].atMs),
      passedOnAndNotAnswered: lost.map(({ id }) => id).join(','),
    });
    return { lost: lost.length, answered: answers.length };
  }
}
