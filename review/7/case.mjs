import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { configuration, rule } from '../lib-2/documents.mjs';
import { runCase } from '../lib-2/fleet.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const SERVICES = ['archive', 'teller', 'pricing'];
const ZONES = ['binondo', 'quiapo', 'makati', 'caloocan'];
const BUDGET_RATIO = 0.2;
const BUDGET_SLACK = 48;
const BUDGET_WINDOW_MS = 10_000;
const CONFIG_APPLY_MS = 2_000;
/** Time before the operator moves the route of the price tables to another service. */
const BEFORE_MOVE_MS = 40_000;
/** Time after it: longer than two budget windows, so that no earlier call counts any more. */
const AFTER_MOVE_MS = 23_000;
/** Time for which all pricing targets reject a part of their requests. */
const REJECTING_MS = 8_500;
const REJECTED_SHARE = 0.55;
const AFTER_MS = 4_000;
/** As at dorado-ferry: about 600 checks a second, 4 calls each, and 77 quotes. */
const CHECKS_PER_S = 600;
const CALLS_PER_CHECK = 4;
const QUOTES_PER_S = 77;
const TICK_MS = 20;

/** Calls `send` at a steady rate; returns a function that ends it. */
function startTraffic(perS, send) {
  const startedAtMs = performance.now();
  let count = 0;
  const timer = setInterval(() => {
    const due = ((performance.now() - startedAtMs) / 1_000) * perS;
    for (; count < due; count += 1) send(count);
  }, TICK_MS);
  return () => clearInterval(timer);
}

const countBetween = (times, from, to) => {
  const below = (limit) => {
    let [low, high] = [0, times.length];
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (times[middle] < limit) low = middle + 1;
      else high = middle;
    }
    return low;
  };
  return below(to) - below(from);
};

await runCase(RECORD, async (fleet, hasTrouble) => {
  const layout = ZONES.flatMap((zone) => SERVICES.map((service) => ({ zone, service })));
  const rulesWith = (tableService) => [
    rule('r-check', '/kyc/', 'teller'),
    rule('r-table', '/karat/', tableService, { targetLatency: '300ms', timeout: '700ms' }),
    rule('r-quote', '/quote/', 'pricing', {
      targetLatency: '100ms',
      timeout: '400ms',
      priority: 1,
    }),
  ];
  await fleet.start(layout, configuration('0000000c', SERVICES, rulesWith('pricing')));

  /** When requests for pricing were sent, and its arrivals beyond the first of each request. */
  const requestTimes = [];
  const repeatTimes = [];
  const arrivedIds = new Set();
  const state = { isRejecting: false, rejections: 0 };
  let isTableAtPricing = true;
  const sendQuote = (client, path) => {
    requestTimes.push(performance.now());
    return client.send({ path, deadlineMs: 400 });
  };
  const callTable = (client, path) => {
    if (isTableAtPricing) requestTimes.push(performance.now());
    return client.send({ path, deadlineMs: 700 });
  };
  for (const { service, target, client } of fleet.machines) {
    target.workMs = 4;
    target.onArrival = (id) => {
      if (service !== 'pricing') return false;
      if (arrivedIds.has(id)) repeatTimes.push(performance.now());
      else arrivedIds.add(id);
      const isRejected = state.isRejecting && Math.random() < REJECTED_SHARE;
      if (isRejected) state.rejections += 1;
      return isRejected;
    };
    if (service === 'teller') {
      target.respond = async (run, response) => {
        for (let call = 0; call < CALLS_PER_CHECK && !response.destroyed; call += 1)
          await callTable(client, `/karat/${call}`);
        target.finish(run, response);
      };
    }
  }
  await sleep(2_000);

  const quotes = [];
  const pick = (count) => fleet.machines[count % fleet.machines.length].client;
  const stopQuotes = startTraffic(QUOTES_PER_S, (count) => {
    sendQuote(pick(count), `/quote/${count}`).then((record) => quotes.push(record));
  });
  const stopChecks = startTraffic(CHECKS_PER_S, (count) => {
    pick(count)
      .send({ path: `/kyc/${count}`, deadlineMs: 2_000 })
      .catch(() => undefined);
  });
  await sleep(BEFORE_MOVE_MS);
  fleet.store.put(
    'op/config',
    JSON.stringify(configuration('0000000f', SERVICES, rulesWith('archive'))),
  );
  fleet.note('route of the price tables moved to another service', {
    requestsForPricing: requestTimes.length,
  });
  await sleep(CONFIG_APPLY_MS);
  isTableAtPricing = false;
  await sleep(AFTER_MOVE_MS);
  const rejectingFromMs = performance.now();
  if (hasTrouble) {
    fleet.note('all pricing targets reject a part of their requests', { share: REJECTED_SHARE });
    state.isRejecting = true;
  }
  await sleep(REJECTING_MS);
  state.isRejecting = false;
  fleet.note('rejections end', { rejections: state.rejections });
  await sleep(AFTER_MS);
  stopQuotes();
  stopChecks();
  await sleep(1_000);

  let worst = { excess: Number.NEGATIVE_INFINITY };
  for (const to of [...repeatTimes, rejectingFromMs]) {
    const from = to - BUDGET_WINDOW_MS;
    const requests = Math.max(
      countBetween(requestTimes, from, to + 1),
      countBetween(requestTimes, from - BUDGET_WINDOW_MS / 2, to - BUDGET_WINDOW_MS / 2),
      countBetween(requestTimes, from - BUDGET_WINDOW_MS, from),
    );
    const repeats = countBetween(repeatTimes, from, to + 0.001);
    const allowed = BUDGET_RATIO * requests + BUDGET_SLACK;
    if (repeats - allowed > worst.excess)
      worst = { excess: repeats - allowed, repeats, requests, allowed, to };
  }
  const windowEndS = ((worst.to - fleet.startedAtMs) / 1_000).toFixed(1);
  fleet.note('worst window of 10 s', { ...worst, to: undefined, windowEndS });
  const served = quotes.filter(({ status }) => status === 200).length;
  fleet.note('summary', {
    requestsForPricing: requestTimes.length,
    repeats: repeatTimes.length,
    quotes: quotes.length,
    served,
    refused: quotes.filter(({ status }) => status === 503).length,
  });
  if (served < quotes.length / 2) throw new Error('less than half of the quotes were served');
  return worst.excess > 0;
});
