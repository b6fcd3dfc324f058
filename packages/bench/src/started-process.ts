import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { ProcessStartError } from './process-start-error';

/** Time for which a process may exit by itself after SIGTERM before it is killed. */
const STOP_GRACE_MS = 2_000;
const STDERR_TAIL_CHARACTERS = 4_000;

/** One process that this program started. */
export class StartedProcess {
  readonly exited: Promise<number | null>;

  private lineListeners: ((line: string) => void)[] = [];

  private stderrTail = '';

  private hasExited = false;

  constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        this.hasExited = true;
        resolve(code);
      });
      child.once('error', () => {
        this.hasExited = true;
        resolve(null);
      });
    });
    if (child.stdout !== null) {
      createInterface({ input: child.stdout }).on('line', (line) => {
        for (const listener of this.lineListeners) listener(line);
      });
    }
    child.stderr?.on('data', (data: Buffer) => {
      this.stderrTail = (this.stderrTail + data.toString()).slice(-STDERR_TAIL_CHARACTERS);
    });
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get running(): boolean {
    return !this.hasExited && this.child.pid !== undefined;
  }

  /** The last text that the process wrote to standard error. */
  get lastErrors(): string {
    return this.stderrTail;
  }

  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** The signal that ended the process, if one did. */
  get exitSignal(): NodeJS.Signals | null {
    return this.child.signalCode;
  }

  /** Appends all output of the process to a file. */
  logTo(file: string): void {
    const log = createWriteStream(file, { flags: 'a' });
    this.child.stdout?.pipe(log, { end: false });
    this.child.stderr?.pipe(log, { end: false });
    this.child.once('close', () => log.end());
  }

  onLine(listener: (line: string) => void): void {
    this.lineListeners.push(listener);
  }

  /** Resolves with the first JSON line on standard output that has the field. */
  async firstLineWith<Line extends object>(field: keyof Line & string): Promise<Line> {
    const line = new Promise<Line>((resolve) => {
      this.onLine((text) => {
        if (!text.startsWith('{')) return;
        const parsed = JSON.parse(text) as Line;
        if (Object.hasOwn(parsed, field)) resolve(parsed);
      });
    });
    const exitBeforeLine = this.exited.then((code) => {
      throw new ProcessStartError(`${this.name} exited with code ${code}: ${this.stderrTail}`);
    });
    return Promise.race([line, exitBeforeLine]);
  }

  signal(name: NodeJS.Signals): void {
    if (this.running) process.kill(this.pid, name);
  }

  /**
   * Sends SIGTERM, then SIGKILL after the grace time. SIGCONT lets a paused process handle SIGTERM.
   */
  async stop(graceMs = STOP_GRACE_MS): Promise<void> {
    if (!this.running) return;
    this.signal('SIGTERM');
    this.signal('SIGCONT');
    const timer = setTimeout(() => this.signal('SIGKILL'), graceMs);
    await this.exited;
    clearTimeout(timer);
  }
}
