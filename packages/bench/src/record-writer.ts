import { closeSync, openSync, writeSync } from 'node:fs';
import type { TargetRecord } from './records';

/** Receives what the stand-in targets of one process did. */
export interface RecordSink {
  write(record: TargetRecord): void;
}

/**
 * Appends each record to a file before the work goes on, so that the records of a process that is
 * killed survive it.
 */
export class RecordWriter implements RecordSink {
  private readonly file: number;

  constructor(path: string) {
    this.file = openSync(path, 'a');
  }

  write(record: TargetRecord): void {
    writeSync(this.file, `${JSON.stringify(record)}\n`);
  }

  close(): void {
    closeSync(this.file);
  }
}
