import { closeSync, openSync, writeSync } from 'node:fs';
import type { TargetRecord } from './records';

/** Receives the records of the stand-in targets of one process. */
export interface RecordSink {
  write(record: TargetRecord): void;
}

/**
 * Appends each record to a file synchronously, so that the records of a process that is killed are
 * not lost.
 */
export class RecordWriter implements RecordSink {
  private readonly fileDescriptor: number;

  constructor(path: string) {
    this.fileDescriptor = openSync(path, 'a');
  }

  write(record: TargetRecord): void {
    writeSync(this.fileDescriptor, `${JSON.stringify(record)}\n`);
  }

  close(): void {
    closeSync(this.fileDescriptor);
  }
}
