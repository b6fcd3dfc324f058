import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_ITEMS = 500;
const LEASE_CHECK_MS = 50;

function durationMs(text) {
  const [, number, unit] = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
  return Number(number) * (unit === 's' ? 1000 : 1);
}

/**
 * The platform's store, as the page on the protocol describes it: items, ranges, watches,
 * transactions and leases. While `isDown`, it accepts calls, carries out none and answers none.
 */
export class Store {
  isDown = false;

  #items = new Map();

  #revision = 1;

  #history = [];

  #leases = new Map();

  #nextLease = 7;

  #watchers = new Set();

  #server = createServer((request, response) => this.#receive(request, response));

  #timer;

  constructor(record) {
    this.record = record;
  }

  async listen(ip) {
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    this.#timer = setInterval(() => this.#expireLeases(), LEASE_CHECK_MS);
    this.port = this.#server.address().port;
    this.address = `${ip}:${this.port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  goDown() {
    this.record.add('store-down');
    this.isDown = true;
    // Leases pause while the store is down.
    this.downSinceMs = Date.now();
  }

  comeBack() {
    this.record.add('store-back');
    this.isDown = false;
    const pausedMs = Date.now() - this.downSinceMs;
    for (const lease of this.#leases.values()) lease.endsMs += pausedMs;
    this.#server.closeAllConnections();
  }

  /** A write of the operator; returns when it is acknowledged. */
  put(key, text) {
    this.#apply([{ key, value: Buffer.from(text).toString('base64'), lease: 0 }], []);
  }

  /** The text under a key; undefined without it. */
  textOf(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, 'base64').toString();
  }

  #expireLeases() {
    if (this.isDown) return;
    for (const [id, { endsMs }] of this.#leases) if (Date.now() >= endsMs) this.#endLease(id);
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.#items.values()]
      .filter(({ lease }) => lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) this.#apply([], keys);
  }

  #apply(puts, removed) {
    this.#revision += 1;
    const revision = this.#revision;
    for (const { key, value, lease = 0 } of puts) {
      const createRevision = this.#items.get(key)?.createRevision ?? revision;
      const item = { key, value, revision, createRevision, lease };
      this.#items.set(key, item);
      this.#history.push(item);
    }
    for (const key of removed) {
      if (this.#items.delete(key)) this.#history.push({ key, revision, deleted: true });
    }
    for (const notify of [...this.#watchers]) notify();
    return revision;
  }

  #receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (this.isDown) return;
      const url = new URL(request.url, 'http://store');
      const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
      this.#dispatch(request.method, url, body, response);
    });
  }

  #respond(response, status, body = {}) {
    if (this.isDown) return;
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  #dispatch(method, url, body, response) {
    const id = Number(url.pathname.split('/').at(-1));
    const call = `${method} ${url.pathname.replace(/\/\d+$/, '')}`;
    if (call === 'GET /v1/kv-key') this.#readKey(url, response);
    else if (call === 'GET /v1/kv-range') this.#readRange(url, response);
    else if (call === 'GET /v1/kv-watch') this.#watch(url, response);
    else if (call === 'POST /v1/kv-txn') this.#transact(body, response);
    else if (call === 'POST /v1/kv-lease') this.#grant(body, response);
    else if (call === 'POST /v1/kv-keep') this.#keep(id, response);
    else if (call === 'DELETE /v1/kv-lease-end') {
      const isKnown = this.#leases.has(id);
      if (isKnown) this.#endLease(id);
      this.#respond(response, isKnown ? 200 : 404);
    } else this.#respond(response, 404);
  }

  #readKey(url, response) {
    const item = this.#items.get(url.searchParams.get('key'));
    if (item === undefined) this.#respond(response, 404, { at: this.#revision });
    else this.#respond(response, 200, { ...item, at: this.#revision });
  }

  #readRange(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const hasMore = found.length > PAGE_ITEMS;
    this.#respond(response, 200, {
      items: found.slice(0, PAGE_ITEMS),
      hasMore,
      at: this.#revision,
    });
  }

  #watch(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const eventsSince = () =>
      this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const watcher = { timer: undefined, notify: undefined };
    const finish = (events) => {
      clearTimeout(watcher.timer);
      this.#watchers.delete(watcher.notify);
      this.#respond(response, 200, { events, at: this.#revision });
    };
    watcher.notify = () => {
      const events = eventsSince();
      if (events.length > 0) finish(events);
    };
    const present = eventsSince();
    if (present.length > 0) {
      finish(present);
      return;
    }
    this.#watchers.add(watcher.notify);
    watcher.timer = setTimeout(() => finish([]), Number(url.searchParams.get('waitMs')));
    response.on('close', () => {
      clearTimeout(watcher.timer);
      this.#watchers.delete(watcher.notify);
    });
  }

  #transact({ expectedRevision = [], puts = [], remove = [] }, response) {
    const isExpected = ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision;
    if (!expectedRevision.every(isExpected)) {
      const items = expectedRevision.flatMap(({ key }) => this.#items.get(key) ?? []);
      this.#respond(response, 412, { items });
      return;
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      this.#respond(response, 404);
      return;
    }
    this.#respond(response, 200, { revision: this.#apply(puts, remove) });
  }

  #grant({ ttl_time: text }, response) {
    const ttlMs = durationMs(text);
    const lease = this.#nextLease;
    this.#nextLease += 1;
    this.#leases.set(lease, { ttlMs, endsMs: Date.now() + ttlMs });
    this.#respond(response, 200, { lease, ttl_time: `${ttlMs}ms` });
  }

  #keep(id, response) {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      this.#respond(response, 404);
      return;
    }
    lease.endsMs = Date.now() + lease.ttlMs;
    this.#respond(response, 200, { ttl_time: `${lease.ttlMs}ms` });
  }
}
