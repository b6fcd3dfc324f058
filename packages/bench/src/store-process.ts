import { request } from 'undici';
import type { ProcessGroup } from './process-group';

const LOOPBACK = '127.0.0.1';

interface StoreListening {
  readonly listening: { readonly address: string; readonly port: number };
}

export type StoreMode = 'ok' | 'slow' | 'down' | 'loseAnswers';

/** Calls that the store stand-in counted, by kind. */
export type StoreCounts = Readonly<Record<string, number>>;

/** The stand-in of the platform's key-value service in its own process. */
export class StoreProcess {
  private constructor(readonly url: string) {}

  static async start(program: string, group: ProcessGroup): Promise<StoreProcess> {
    const started = group.start('store', program, ['--address', LOOPBACK, '--port', '0']);
    const { listening } = await started.firstLineWith<StoreListening>('listening');
    return new StoreProcess(`http://${LOOPBACK}:${listening.port}`);
  }

  async setMode(mode: StoreMode, delayMs: number): Promise<void> {
    const answer = await request(`${this.url}/_stand-in/faults`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ mode, delayMs }),
    });
    await answer.body.dump();
  }

  async counts(): Promise<StoreCounts> {
    const answer = await request(`${this.url}/_stand-in/counts`);
    return (await answer.body.json()) as StoreCounts;
  }
}
