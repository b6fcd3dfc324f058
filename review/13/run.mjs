import { createConnection } from 'node:net';
import path from 'node:path';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { readAnswers } from '../lib-3/answers.mjs';
import { hasTrouble, RULE_BROKEN, RULE_HELD, runCase } from '../lib-3/case.mjs';
import { HOST, READ_PATH, startFleet } from '../lib-3/fleet.mjs';
import { UNFRAMED } from '../lib-3/upstream.mjs';

/** Largest answer of the site file: `resp_bytes`, max = 36000. */
const ANSWER_BYTES = 36_000;
const CLIENTS = 4;
/** Requests that a client sends at once, before the one whose answer has no length. */
const AHEAD = 14;
/** Time between the requests that it sends after them. */
const GAP_MS = 200;
/** Time for which a slow client rests after each piece that it has read, of 64 KB at most. */
const READ_PAUSE_MS = 400;
/** Deadline of the safe requests of the site file. */
const DEADLINE_MS = 5_000;
/** Times at which the rule is broken: more than three. */
const ALLOWED = 3;

/** A client that sends further requests before the first is answered; with the trouble, it reads slowly. */
class Client {
  sent = [];

  chunks = [];

  end = 'none';

  endMs = undefined;

  constructor(daemon, name, record) {
    Object.assign(this, { name, record });
    this.socket = createConnection({ host: daemon.ip, port: daemon.ports.outbound });
    this.socket.on('data', (chunk) => {
      this.chunks.push(chunk);
      if (!hasTrouble) return;
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

  /** Sends until the connection has ended, or the first deadline has passed. */
  async run() {
    for (let count = 0; count < AHEAD; count += 1) this.send('lots');
    this.send(UNFRAMED);
    const endMs = this.sent[0].atMs + DEADLINE_MS;
    while (this.end === 'none' && this.record.nowMs() < endMs) {
      await sleep(GAP_MS);
      if (this.end === 'none') this.send('more');
    }
  }
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record } = parts;
  const options = { workMs: 20, answerBytes: ANSWER_BYTES };
  const { machines } = await startFleet(parts, 2, options);
  const [{ daemon }] = machines;
  await sleep(1_000);
  const clients = Array.from(
    { length: CLIENTS },
    (_, index) => new Client(daemon, `s${index}`, record),
  );
  for (const { socket } of clients) parts.ends.push(() => socket.destroy());
  await Promise.all(clients.map((client) => client.run()));

  const ran = new Set(machines.flatMap(({ upstream }) => upstream.runs.map(({ id }) => id)));
  let lost = 0;
  let answered = 0;
  for (const client of clients) {
    const answers = readAnswers(client).filter(({ isWhole }) => isWhole);
    for (const { id, status, body } of answers)
      record.add('answer', { id, status, bytes: body.length });
    const answeredIds = new Set(answers.map(({ id }) => id));
    // Judged: what was passed on and had time left when the connection ended without its answer.
    const lostHere = client.sent.filter(
      ({ id, atMs }) =>
        ran.has(id) && !answeredIds.has(id) && (client.endMs ?? Infinity) < atMs + DEADLINE_MS,
    );
    lost += lostHere.length;
    answered += answers.length;
    record.add('connection', {
      name: client.name,
      sent: client.sent.length,
      answered: answers.length,
      end: client.end,
      endedAfterMs: Math.round((client.endMs ?? 0) - client.sent[0].atMs),
      passedOnAndNotAnswered: lostHere.map(({ id }) => id).join(','),
    });
  }
  record.add('result', { answered, passedOnAndNotAnswered: lost });
  if (answered === 0) throw new Error('no request was served');
  return lost > ALLOWED ? RULE_BROKEN : RULE_HELD;
});
