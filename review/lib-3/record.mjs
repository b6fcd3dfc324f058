import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** What was sent, answered and run, with times since the start of the case; one file of lines. */
export class Record {
  #lines = [];

  #startMs = performance.now();

  constructor(file) {
    this.file = file;
  }

  /** Time since the start of the case. */
  nowMs() {
    return performance.now() - this.#startMs;
  }

  add(kind, fields = {}) {
    const text = Object.entries(fields)
      .map(
        ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
      )
      .join(' ');
    this.#lines.push(`${(this.nowMs() / 1000).toFixed(3)} ${kind} ${text}`.trimEnd());
  }

  write() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}
