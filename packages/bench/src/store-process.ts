import { request } from 'undici';
import type { ProcessGroup } from './process-group';

const LOOPBACK = '127.0.0.1';

interface StoreListeningLine {
  readonly listening: { readonly address: string; readonly port: number };
}

export type StoreMode = 'ok' | 'slow' | 'down' | 'loseAnswers';

/** Number of calls at the store stand-in, by kind. */
export type StoreCounts = Readonly<Record<string, number>>;

/** A process that runs the stand-in of the platform's key-value service. */
export class StoreProcess {
  private constructor(readonly url: string) {}

  static async start(program: string, group: ProcessGroup): Promise<StoreProcess> {
    const started = group.start('store', program, ['--address', LOOPBACK, '--port', '0']);
    const { listening } = await started.firstLineWith<StoreListeningLine>('listening');
    return new StoreProcess(`http://${LOOPBACK}:${listening.port}`);
  }

  async setMode(mode: StoreMode, delayMs: number): Promise<void> {
    const response = await request(`${this.url}/_stand-in/faults`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ mode, delayMs }),
    });
    await response.body.dump();
  }

  async counts(): Promise<StoreCounts> {
    const response = await request(`${this.url}/_stand-in/counts`);
    return (await response.body.json()) as StoreCounts;
  }
}
