// Measures the application of a configuration and the search of a route by the number of routes.
// Usage: node --expose-gc --import tsx scripts/measure-routes.mjs
import { RouteTable } from '@daisyferry/mesh/route-table';
import { decodeConfiguration } from '@daisyferry/platform/configuration';
import { configurationDocument } from '@daisyferry/platform/stand-in/documents';

const ROUTE_COUNTS = [10, 1_000, 10_000];
const SEARCHES = 200_000;
const NS_PER_MS = 1e6;
const BYTES_PER_KB = 1_024;

function elapsedMs(action) {
  const startNs = process.hrtime.bigint();
  action();
  return Number(process.hrtime.bigint() - startNs) / NS_PER_MS;
}

function documentWith(routeCount) {
  const document = configurationDocument();
  const [listener] = document.listeners;
  const [rule] = listener.rules;
  listener.rules = Array.from({ length: routeCount }, (_, index) => ({
    ...rule,
    name: `r-${index}`,
    match: { prefix: `/area${index % 50}/r${index}/` },
  }));
  return JSON.stringify(document);
}

for (const routeCount of ROUTE_COUNTS) {
  const text = documentWith(routeCount);
  let table;
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const applyMs = elapsedMs(() => {
    table = new RouteTable(decodeConfiguration(text));
  });
  globalThis.gc?.();
  const heapKb = (process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_KB;
  const searchMs = elapsedMs(() => {
    for (let count = 0; count < SEARCHES; count += 1) {
      const index = routeCount - 1 - (count % routeCount);
      table.find('shop.example', `/area${index % 50}/r${index}/item/${count}`);
    }
  });
  const row = {
    routeCount,
    documentKb: Math.round(text.length / BYTES_PER_KB),
    applyMs: applyMs.toFixed(1),
    heapKb: Math.round(heapKb),
    searchUs: ((searchMs * 1_000) / SEARCHES).toFixed(2),
  };
  process.stdout.write(`${JSON.stringify(row)}\n`);
}
