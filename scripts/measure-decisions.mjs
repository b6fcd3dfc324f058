// Measures the memory of settled calls and the time of the decisions on the call path.
// Run by hand: node --expose-gc --import tsx scripts/measure-decisions.mjs
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { ExecutionRecords } from '@daisyferry/execution/execution-records';
import { mintTicket } from '@daisyferry/execution/ticket';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import { TargetPicker } from '@daisyferry/routing/target-picker';

const SELF = { name: 'vault-quiapo-2', incarnation: '0123456789abcdef' };
const LIFETIME_MS = 600_000;
const NS_PER_MS = 1e6;
const EMPTY_ANSWER = { statusCode: 201, headers: [], body: Buffer.alloc(0), outcome: 'completed' };

function usedMemory() {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Runs the action `count` times and returns ns for each. */
function nsEach(count, action) {
  const start = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) action(index);
  return Number(process.hrtime.bigint() - start) / count;
}

function settle(records, nonce, nowMs, answer) {
  records.handOver(nonce, nowMs);
  records.answered(nonce, answer, nowMs);
}

/** Runs calls that arrive evenly over one lifetime and returns what each costs. */
function measureFacts(count, answer) {
  const bytes = randomBytes(count * 16);
  const nonceAt = (index) => bytes.toString('hex', index * 16, index * 16 + 16);
  const timeAt = (index) => (index / count) * LIFETIME_MS;
  const before = usedMemory();
  const options = {
    self: SELF,
    byteBudget: 2 ** 33,
    maxLifetimeMs: LIFETIME_MS,
    maxClockSkewMs: 0,
  };
  const records = new ExecutionRecords(options);
  const ticketAt = (index) => mintTicket(SELF, LIFETIME_MS, nonceAt(index), timeAt(index));
  const callNs = nsEach(count, (index) => {
    const ticket = ticketAt(index);
    records.claim(ticket, timeAt(index));
    settle(records, ticket.nonce, timeAt(index), answer);
  });
  const held = usedMemory() - before;
  const repeatNs = nsEach(Math.min(count, 100_000), (index) =>
    records.claim(ticketAt(index), LIFETIME_MS - 1),
  );
  const start = process.hrtime.bigint();
  const forgotten = records.sweep(3 * LIFETIME_MS);
  const sweepMs = Number(process.hrtime.bigint() - start) / NS_PER_MS;
  return {
    records: count,
    kept: answer === undefined ? 'fact' : 'fact and empty answer',
    bytesPerRecord: (held / count).toFixed(1),
    nsPerCall: callNs.toFixed(0),
    nsPerRepeat: repeatNs.toFixed(0),
    forgotten,
    sweepMs: sweepMs.toFixed(2),
  };
}

function measureLive(count) {
  const nonces = Array.from({ length: count }, () => randomBytes(16).toString('hex'));
  const before = usedMemory();
  const options = {
    self: SELF,
    byteBudget: 2 ** 33,
    maxLifetimeMs: LIFETIME_MS,
    maxClockSkewMs: 0,
  };
  const records = new ExecutionRecords(options);
  for (const nonce of nonces) records.claim(mintTicket(SELF, LIFETIME_MS, nonce, 0), 0);
  const held = usedMemory() - before;
  return { inProgress: records.stats().inProgress, bytesPerCall: (held / count).toFixed(0) };
}

function measureCodec(key) {
  const codec = new TicketCodec(key);
  const ticket = mintTicket(SELF, LIFETIME_MS, randomBytes(16).toString('base64url'), Date.now());
  const text = codec.encode(ticket);
  nsEach(10_000, () => codec.decode(text));
  return {
    signed: key !== undefined,
    characters: text.length,
    nsPerEncode: nsEach(100_000, () => codec.encode(ticket)).toFixed(0),
    nsPerDecode: nsEach(100_000, () => codec.decode(text)).toFixed(0),
  };
}

function directoryOf(count) {
  const views = Array.from({ length: count }, (_, index) => ({
    reachability: 'alive',
    member: {
      id: { name: `vault-${index}`, incarnation: SELF.incarnation },
      service: 'vault',
      dataCentre: `dc-${index % 20}`,
      region: `region-${(index % 20) % 6}`,
      slots: 100,
      connections: 1_000,
      targetState: 'serving',
    },
  }));
  const byName = new Map(views.map((view) => [view.member.id.name, view]));
  return { epoch: 1, membersOf: () => views, memberNamed: (name) => byName.get(name) };
}

function measurePicker(targets) {
  const directory = directoryOf(targets);
  const picker = new TargetPicker({
    self: { name: 'vault-0', incarnation: SELF.incarnation },
    dataCentre: 'dc-0',
    region: 'region-0',
    directory,
    random: Math.random,
    subsetSize: 20,
  });
  const attempt = (index) => {
    const { name } = picker.pick('vault', new Set(), index / 100).id;
    picker.started(name, index / 100);
    picker.observeLoad(name, 0.5, index / 100);
    picker.finished(name, 'answered', index / 100);
  };
  nsEach(20_000, attempt);
  const nsPerAttempt = nsEach(100_000, attempt).toFixed(0);
  const nsPerRefresh = nsEach(50, (index) => {
    directory.epoch += 1;
    picker.pick('vault', new Set(), index);
  }).toFixed(0);
  return { targets, nsPerAttempt, nsPerRefresh };
}

for (let warmUp = 0; warmUp < 20; warmUp += 1) measureFacts(10_000, undefined);
console.table([10_000, 100_000, 1_000_000].map((count) => measureFacts(count, undefined)));
console.table([10_000, 100_000].map((count) => measureFacts(count, EMPTY_ANSWER)));
measureLive(10_000);
console.table([1_000, 10_000, 100_000].map(measureLive));
console.table([measureCodec(undefined), measureCodec(randomBytes(32))]);
console.table([4, 28, 300, 1_000].map(measurePicker));
