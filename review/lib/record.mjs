import { createWriteStream } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';

/** Appends lines with the time since the start of the script to the record of a case. */
export class Record {
  constructor(folder) {
    this.startMs = performance.now();
    this.stream = createWriteStream(path.join(folder, 'record.txt'));
  }

  line(text) {
    const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    this.stream.write(`${seconds.padStart(8)} s  ${text}\n`);
  }

  close() {
    return new Promise((resolve) => {
      this.stream.end(resolve);
    });
  }
}
