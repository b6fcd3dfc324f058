import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { send } from './send.mjs';
import { HEARTBEAT_MS } from './settings.mjs';

/**
 * What a target says of itself to its daemon. Each call is acknowledged by a 2xx response within a
 * second; one that is not is sent again.
 */
export class Announcer {
  constructor(machine, targetId) {
    this.machine = machine;
    this.targetId = targetId;
    this.bornUnixMs = Date.now();
    this.sequence = 0;
  }

  /** Body of the next heartbeat. */
  next(state) {
    this.sequence += 1;
    const { ip, appPort, service } = this.machine;
    return JSON.stringify({
      service,
      address: `${ip}:${appPort}`,
      zone: 'a',
      version: 'v1',
      slots: 194,
      state,
      coldRemaining: '0ms',
      sequence: this.sequence,
      born: this.bornUnixMs,
    });
  }

  put(body) {
    return this.call('PUT', body);
  }

  remove() {
    return this.call('DELETE', JSON.stringify({ born: this.bornUnixMs }));
  }

  async call(method, body) {
    const { ip, controlPort, name, fleet } = this.machine;
    const status = await send(
      {
        host: ip,
        port: controlPort,
        method,
        path: `/v1/instances/${this.targetId}`,
        headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) },
      },
      body,
    );
    const answer = status === 0 ? 'no answer' : `answer ${status}`;
    fleet.record.line(`${method} of target ${this.targetId} to ${name}: ${answer}; ${body}`);
    return status >= 200 && status < 300;
  }

  /** Sends heartbeats until `stop`. */
  start() {
    const beat = () => this.put(this.next('ready'));
    this.timer = setInterval(beat, HEARTBEAT_MS);
    return beat();
  }

  stop() {
    clearInterval(this.timer);
  }
}
