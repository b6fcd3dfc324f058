import { appendFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/**
 * The record of a case, a file that `run.sh` has begun. Lines carry the time since the start of the
 * script and are written at once, so that none is missing if the script is ended.
 */
export class Record {
  constructor(path) {
    this.path = path;
    this.startMs = performance.now();
  }

  line(text) {
    const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    appendFileSync(this.path, `${seconds.padStart(8)} s  ${text}\n`);
  }
}
