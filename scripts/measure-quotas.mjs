// Measures quotas and fair shares: time per request and bytes by the number of accounts, messages
// and bytes by the number of daemons (sent and received, frames without TCP).
// Usage: node --expose-gc --import tsx scripts/measure-quotas.mjs
import { DecayingAccountShares } from '@daisyferry/accounts/account-shares';
import { QuotaEntry } from '@daisyferry/accounts/quota-entry';
import { QuotaFigures } from '@daisyferry/accounts/quota-figures';
import { QuotaHome } from '@daisyferry/accounts/quota-home';
import { RingPart } from '@daisyferry/accounts/ring-part';
import { accountOf, QuotaFleet } from '../packages/accounts/tests/quota-fleet';

const ACCOUNT_COUNTS = [100, 100_000];
const DAEMON_COUNTS = [30, 100, 300];
const REQUESTS = 1_000_000;
const NS_PER_US = 1_000;
const LARGEST_PER_S = 464;
const LEAST_PER_S = 2;
const FLEET_ACCOUNTS = 87;
const USE_OF_LIMIT = 1 / 1.6;
const READY_MS = 3_000;
const LOADED_MS = 20_000;

function heapBytes() {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function usEach(count, action) {
  const startNs = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) action(index);
  return Number(process.hrtime.bigint() - startNs) / NS_PER_US / count;
}

/** One daemon that is entry and home of all accounts. */
function measureAccounts(accountCount) {
  const accounts = Array.from({ length: accountCount }, (_, index) =>
    accountOf(`account-${index}`, 1_000, 1_000),
  );
  const fleetBytes = heapBytes();
  const home = new QuotaHome({
    part: new RingPart('d'),
    limitOf: () => accounts[0],
    hasConfiguration: () => true,
    share: () => 1,
  });
  home.check(0);
  let nowMs = 10_000;
  const entry = new QuotaEntry({
    homeOf: () => 'd',
    send: (homeId, number, asks) => {
      const answers = asks.map((ask) => home.answer(ask, nowMs));
      entry.handleAnswers(homeId, number, answers, nowMs);
    },
    scheduleFlush: () => undefined,
    figures: new QuotaFigures(),
  });
  const settle = () => undefined;
  const ask = (index) => {
    const result = entry.request(accounts[index % accountCount], nowMs + 1_000, nowMs, settle);
    if (result.kind === 'waiting') entry.flush(nowMs);
  };
  usEach(accountCount, ask);
  const quotaBytes = (heapBytes() - fleetBytes) / accountCount;
  const inTime = (index) => {
    nowMs += 0.01;
    ask(index);
  };
  const spreadUs = usEach(REQUESTS, inTime);
  const hotUs = usEach(REQUESTS, () => inTime(0));
  const sharesBytes = heapBytes();
  const shares = new DecayingAccountShares(() => 100);
  usEach(accountCount, (index) => shares.recordUse(accounts[index].name, 10, nowMs));
  const shareBytes = (heapBytes() - sharesBytes) / shares.heldCount;
  const shareUs = usEach(REQUESTS, (index) => {
    const { name } = accounts[index % accountCount];
    nowMs += 0.01;
    shares.excessMs(name, nowMs);
    shares.recordUse(name, 10, nowMs);
  });
  return {
    accountCount,
    quotaUs: spreadUs.toFixed(2),
    hotQuotaUs: hotUs.toFixed(2),
    shareUs: shareUs.toFixed(2),
    quotaBytes: Math.round(quotaBytes),
    shareBytes: Math.round(shareBytes),
    sharesHeld: shares.heldCount,
  };
}

function measureFleet(daemonCount, hotTimes) {
  const accounts = Array.from({ length: FLEET_ACCOUNTS }, (_, index) =>
    accountOf(`account-${index}`, Math.max(LEAST_PER_S, LARGEST_PER_S / (index + 1) ** 0.9)),
  );
  const ids = Array.from({ length: daemonCount }, (_, index) => `sidecar-${index}`);
  const fleet = new QuotaFleet(ids, accounts);
  fleet.runUntil(READY_MS);
  const endMs = READY_MS + LOADED_MS;
  for (const { name, ratePerS } of accounts)
    fleet.load(name, ratePerS * USE_OF_LIMIT, [READY_MS, endMs]);
  if (hotTimes > 0)
    fleet.load('account-3', accounts[3].ratePerS * USE_OF_LIMIT * hotTimes, [READY_MS, endMs]);
  const { messages, bytes } = fleet;
  fleet.runUntil(endMs);
  // Each message is sent by one daemon and received by another.
  const perDaemon = 2 / daemonCount / (LOADED_MS / 1_000);
  const waits = fleet.attempts
    .filter(({ verdict }) => verdict === 'admitted')
    .map(({ sentMs, settledMs }) => settledMs - sentMs)
    .sort((left, right) => left - right);
  return {
    daemonCount,
    hotTimes,
    requestsPerS: Math.round(fleet.attempts.length / (LOADED_MS / 1_000)),
    admitted: (waits.length / fleet.attempts.length).toFixed(4),
    waitMedianMs: waits[Math.floor(waits.length / 2)].toFixed(1),
    waitP99Ms: waits[Math.floor(waits.length * 0.99)].toFixed(1),
    messagesPerS: ((fleet.messages - messages) * perDaemon).toFixed(1),
    bytesPerS: Math.round((fleet.bytes - bytes) * perDaemon),
    excess: fleet.worstExcess().toFixed(1),
  };
}

// The first run compiles the code, which is held too.
measureAccounts(ACCOUNT_COUNTS[0]);
for (const accountCount of ACCOUNT_COUNTS)
  process.stdout.write(`${JSON.stringify(measureAccounts(accountCount))}\n`);
for (const daemonCount of DAEMON_COUNTS) {
  for (const hotTimes of [0, 10])
    process.stdout.write(`${JSON.stringify(measureFleet(daemonCount, hotTimes))}\n`);
}
