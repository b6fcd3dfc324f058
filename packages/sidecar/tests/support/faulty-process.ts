import { keepRunningAfterErrors } from '@daisyferry/sidecar/unowned-errors';
import { EventEmitter } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

// A process with requests in progress in which an error without an owner occurs. It prints its port,
// then the origin and text of each error that it goes on after.

const ANSWER_MS = 600;
const FAULT_MS = 300;

function throwError(): never {
  throw new TypeError('unexpected');
}

const FAULTS: Readonly<Record<string, () => void>> = {
  timer: throwError,
  rejection: () => {
    Promise.resolve().then(throwError, () => undefined);
  },
  event: () => {
    new EventEmitter().emit('error', new TypeError('unexpected'));
  },
  nested: () => queueMicrotask(throwError),
};

const fault = FAULTS[process.argv[2] ?? ''] ?? throwError;
if (process.argv[3] !== 'without') {
  keepRunningAfterErrors((origin, error) => process.stdout.write(`${origin} ${String(error)}\n`));
}
let requestCount = 0;
const server = createServer((_request, response) => {
  requestCount += 1;
  if (requestCount === 1) setTimeout(fault, FAULT_MS);
  setTimeout(() => response.end('done'), ANSWER_MS);
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`);
});
