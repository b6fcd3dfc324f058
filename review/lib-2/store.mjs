import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setImmediate, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Longest time that a watch may wait. */
const MAX_WATCH_MS = 30_000;
const LEASE_CHECK_MS = 50;
const PAGE_ITEMS = 500;

const durationMs = (text) => {
  const [, number, unit] = /^([\d.]+)(ms|s)$/.exec(text);
  return Number(number) * (unit === 's' ? 1_000 : 1);
};

/** Stand-in of the platform's store; keeps everything in memory and answers at once. */
export class Store {
  items = new Map();

  events = [];

  leases = new Map();

  watches = new Set();

  revision = 100;

  nextLease = 1;

  /** Called with each call and its answer; returns false to drop the answer. */
  onCall = () => true;

  constructor() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks).toString()));
    });
    this.timer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS);
  }

  listen(ip) {
    return new Promise((resolve) => {
      this.server.listen(0, ip, () => resolve(this.server.address().port));
    });
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value as the operator does. */
  put(key, value, lease = 0) {
    this.revision += 1;
    const before = this.items.get(key);
    const item = {
      key,
      value: Buffer.from(value).toString('base64'),
      revision: this.revision,
      createRevision: before?.createRevision ?? this.revision,
      lease,
    };
    this.items.set(key, item);
    this.addEvent(item);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.addEvent({ key, revision: this.revision, deleted: true });
  }

  addEvent(event) {
    this.events.push(event);
    setImmediate(() => {
      for (const check of [...this.watches]) check();
    });
  }

  expireLeases() {
    for (const [lease, { untilMs }] of this.leases)
      if (performance.now() >= untilMs) this.endLease(lease);
  }

  endLease(lease) {
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) if (item.lease === lease) this.remove(item.key);
  }

  handle(request, response, text) {
    const url = new URL(request.url, 'http://store');
    const name = url.pathname.split('/')[2];
    const id = Number(url.pathname.split('/')[3]);
    if (name === 'kv-watch') {
      this.watch(url.searchParams, response);
      return;
    }
    const [status, body] = this.apply(
      name,
      id,
      url.searchParams,
      text === '' ? {} : JSON.parse(text),
    );
    if (this.onCall(name, text, status) === false) return;
    this.answer(response, status, body);
  }

  answer(response, status, body) {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  apply(name, id, query, body) {
    switch (name) {
      case 'kv-key': {
        const item = this.items.get(query.get('key'));
        return item === undefined ? [404, {}] : [200, { ...item, at: this.revision }];
      }
      case 'kv-range': {
        const after = query.get('after') ?? '';
        const found = [...this.items.values()]
          .filter(({ key }) => key.startsWith(query.get('prefix')) && key > after)
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        const items = found.slice(0, PAGE_ITEMS);
        return [200, { items, hasMore: items.length < found.length, at: this.revision }];
      }
      case 'kv-txn':
        return this.transact(body);
      case 'kv-lease': {
        const lease = this.nextLease;
        this.nextLease += 1;
        const ttlMs = durationMs(body.ttl_time);
        this.leases.set(lease, { ttlMs, untilMs: performance.now() + ttlMs });
        return [200, { lease, ttl_time: `${ttlMs}ms` }];
      }
      case 'kv-keep': {
        const lease = this.leases.get(id);
        if (lease === undefined) return [404, {}];
        lease.untilMs = performance.now() + lease.ttlMs;
        return [200, { lease: id, ttl_time: `${lease.ttlMs}ms` }];
      }
      case 'kv-lease-end':
        if (!this.leases.has(id)) return [404, {}];
        this.endLease(id);
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  transact({ expectedRevision = [], puts = [], remove = [] }) {
    const present = ({ key }) => this.items.get(key)?.revision ?? 0;
    if (expectedRevision.some((row) => present(row) !== row.revision)) {
      const items = expectedRevision.flatMap(({ key }) => this.items.get(key) ?? []);
      return [412, { items }];
    }
    if ([...puts, ...remove.map((key) => ({ key }))].some(({ key }) => /^(op|servers)\//.test(key)))
      return [403, {}];
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    for (const { key, value, lease } of puts)
      this.put(key, Buffer.from(value, 'base64').toString(), lease);
    for (const key of remove) this.remove(key);
    return [200, { revision: this.revision }];
  }

  watch(query, response) {
    const prefix = query.get('prefix');
    const after = Number(query.get('after'));
    const waitMs = Math.min(MAX_WATCH_MS, Number(query.get('waitMs')));
    const state = { timer: undefined, check: undefined };
    const end = () => {
      clearTimeout(state.timer);
      this.watches.delete(state.check);
    };
    state.check = (isOver = false) => {
      const events = this.events.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      if (events.length === 0 && isOver !== true) return;
      end();
      this.answer(response, 200, { events, at: this.revision });
    };
    state.timer = setTimeout(() => state.check(true), waitMs);
    this.watches.add(state.check);
    response.on('close', end);
    state.check();
  }
}
