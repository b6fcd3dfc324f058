// Measures the memory of recorded calls and the time of the decisions on the call path.
// Usage: node --expose-gc --import tsx scripts/measure-decisions.mjs
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { ExecutionRecords } from '@daisyferry/execution/execution-records';
import { mintTicket } from '@daisyferry/execution/ticket';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import { TargetPicker } from '@daisyferry/routing/target-picker';

const SELF = { name: 'vault-quiapo-2', incarnation: '0123456789abcdef' };
const LIFETIME_MS = 600_000;
const NS_PER_MS = 1e6;
const EMPTY_RESPONSE = {
  statusCode: 201,
  headers: [],
  body: Buffer.alloc(0),
  outcome: 'completed',
};

function usedMemoryBytes() {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Runs an action `count` times and returns the mean time in ns. */
function meanNs(count, action) {
  const startNs = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) action(index);
  return Number(process.hrtime.bigint() - startNs) / count;
}

function completeCall(records, nonce, nowMs, response) {
  records.handOver(nonce, nowMs);
  records.answered(nonce, response, nowMs);
}

/**
 * Completes calls that arrive evenly over one ticket lifetime; returns memory and time per call.
 */
function measureRecordedCalls(count, response) {
  const nonceBytes = randomBytes(count * 16);
  const nonceAt = (index) => nonceBytes.toString('hex', index * 16, index * 16 + 16);
  const timeAt = (index) => (index / count) * LIFETIME_MS;
  const bytesBefore = usedMemoryBytes();
  const options = {
    self: SELF,
    byteBudget: 2 ** 33,
    maxLifetimeMs: LIFETIME_MS,
    maxClockSkewMs: 0,
  };
  const records = new ExecutionRecords(options);
  const ticketAt = (index) => mintTicket(SELF, LIFETIME_MS, nonceAt(index), timeAt(index));
  const nsPerCall = meanNs(count, (index) => {
    const ticket = ticketAt(index);
    records.claim(ticket, timeAt(index));
    completeCall(records, ticket.nonce, timeAt(index), response);
  });
  const recordBytes = usedMemoryBytes() - bytesBefore;
  const nsPerRepeat = meanNs(Math.min(count, 100_000), (index) =>
    records.claim(ticketAt(index), LIFETIME_MS - 1),
  );
  const startNs = process.hrtime.bigint();
  const expiredCount = records.sweep(3 * LIFETIME_MS);
  const sweepMs = Number(process.hrtime.bigint() - startNs) / NS_PER_MS;
  return {
    records: count,
    kept: response === undefined ? 'call summary' : 'call summary and empty response',
    bytesPerRecord: (recordBytes / count).toFixed(1),
    nsPerCall: nsPerCall.toFixed(0),
    nsPerRepeat: nsPerRepeat.toFixed(0),
    forgotten: expiredCount,
    sweepMs: sweepMs.toFixed(2),
  };
}

function measureCallsInProgress(count) {
  const nonces = Array.from({ length: count }, () => randomBytes(16).toString('hex'));
  const bytesBefore = usedMemoryBytes();
  const options = {
    self: SELF,
    byteBudget: 2 ** 33,
    maxLifetimeMs: LIFETIME_MS,
    maxClockSkewMs: 0,
  };
  const records = new ExecutionRecords(options);
  for (const nonce of nonces) records.claim(mintTicket(SELF, LIFETIME_MS, nonce, 0), 0);
  const recordBytes = usedMemoryBytes() - bytesBefore;
  return { inProgress: records.stats().inProgress, bytesPerCall: (recordBytes / count).toFixed(0) };
}

function measureCodec(key) {
  const codec = new TicketCodec(key);
  const ticket = mintTicket(SELF, LIFETIME_MS, randomBytes(16).toString('base64url'), Date.now());
  const encoded = codec.encode(ticket);
  meanNs(10_000, () => codec.decode(encoded));
  return {
    signed: key !== undefined,
    characters: encoded.length,
    nsPerEncode: meanNs(100_000, () => codec.encode(ticket)).toFixed(0),
    nsPerDecode: meanNs(100_000, () => codec.decode(encoded)).toFixed(0),
  };
}

function createDirectory(count) {
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
  const directory = createDirectory(targets);
  const picker = new TargetPicker({
    self: { name: 'vault-0', incarnation: SELF.incarnation },
    dataCentre: 'dc-0',
    region: 'region-0',
    directory,
    random: Math.random,
    subsetSize: 20,
  });
  const runAttempt = (index) => {
    const { name } = picker.pick('vault', new Set(), index / 100).id;
    picker.started(name, index / 100);
    picker.observeLoad(name, 0.5, index / 100);
    picker.finished(name, 'answered', index / 100);
  };
  meanNs(20_000, runAttempt);
  const nsPerAttempt = meanNs(100_000, runAttempt).toFixed(0);
  const nsPerRefresh = meanNs(50, (index) => {
    directory.epoch += 1;
    picker.pick('vault', new Set(), index);
  }).toFixed(0);
  return { targets, nsPerAttempt, nsPerRefresh };
}

for (let warmUp = 0; warmUp < 20; warmUp += 1) measureRecordedCalls(10_000, undefined);
console.table([10_000, 100_000, 1_000_000].map((count) => measureRecordedCalls(count, undefined)));
console.table([10_000, 100_000].map((count) => measureRecordedCalls(count, EMPTY_RESPONSE)));
measureCallsInProgress(10_000);
console.table([1_000, 10_000, 100_000].map(measureCallsInProgress));
console.table([measureCodec(undefined), measureCodec(randomBytes(32))]);
console.table([4, 28, 300, 1_000].map(measurePicker));
