import { spawn } from 'node:child_process';
import { StartedProcess } from './started-process';

/** All processes that this program started; the only ones that it ever signals. */
export class ProcessGroup {
  private readonly started: StartedProcess[] = [];

  constructor() {
    process.once('exit', () => this.killAll());
  }

  /** Starts a Node program of this project. */
  start(name: string, file: string, args: readonly string[]): StartedProcess {
    const child = spawn(process.execPath, ['--max-old-space-size=512', file, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = new StartedProcess(name, child);
    this.started.push(started);
    return started;
  }

  get runningCount(): number {
    return this.started.filter(({ running }) => running).length;
  }

  async stopAll(): Promise<void> {
    await Promise.all(this.started.map((started) => started.stop()));
  }

  private killAll(): void {
    for (const started of this.started) started.signal('SIGKILL');
  }
}
