import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { ProcessStartError } from './process-start-error';

/** Time for which a process may end by itself after SIGTERM. */
const STOP_GRACE_MS = 2_000;
const KEPT_ERROR_CHARACTERS = 4_000;

/** One process that this program started. */
export class StartedProcess {
  readonly exited: Promise<number | null>;

  private lineListeners: ((line: string) => void)[] = [];

  private errorText = '';

  private ended = false;

  constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        this.ended = true;
        resolve(code);
      });
      child.once('error', () => {
        this.ended = true;
        resolve(null);
      });
    });
    if (child.stdout !== null) {
      createInterface({ input: child.stdout }).on('line', (line) => {
        for (const listener of this.lineListeners) listener(line);
      });
    }
    child.stderr?.on('data', (data: Buffer) => {
      this.errorText = (this.errorText + data.toString()).slice(-KEPT_ERROR_CHARACTERS);
    });
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get running(): boolean {
    return !this.ended && this.child.pid !== undefined;
  }

  /** The last text that the process wrote to standard error. */
  get lastErrors(): string {
    return this.errorText;
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
    const early = this.exited.then((code) => {
      throw new ProcessStartError(`${this.name} ended with ${code}: ${this.errorText}`);
    });
    return Promise.race([line, early]);
  }

  signal(name: NodeJS.Signals): void {
    if (this.running) process.kill(this.pid, name);
  }

  /** Ends the process: asks first, then kills it. Also ends a paused one. */
  async stop(graceMs = STOP_GRACE_MS): Promise<void> {
    if (!this.running) return;
    this.signal('SIGTERM');
    this.signal('SIGCONT');
    const timer = setTimeout(() => this.signal('SIGKILL'), graceMs);
    await this.exited;
    clearTimeout(timer);
  }
}
