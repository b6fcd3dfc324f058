import { request } from 'undici';
import { AdminCallError } from './admin-call-error';

const SERVICE_PATH = '/daisyferry.admin.v1.AdministrationService';
const TIMEOUT_MS = 10_000;

/** The answer to a change. */
export interface ChangeAnswer {
  readonly outcome: string;
  readonly revision: string;
}

/** Calls the administration API of one daemon over HTTP and JSON. */
export class AdminClient {
  constructor(private readonly baseUrl: string) {}

  async call<Answer>(method: string, body: object): Promise<Answer> {
    const answer = await request(`${this.baseUrl}${SERVICE_PATH}/${method}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new AdminCallError(`${method}: status ${answer.statusCode}: ${text}`);
    }
    return JSON.parse(text) as Answer;
  }

  async applyPolicy(
    document: string,
    operationId: string,
    expectedRevision: string,
  ): Promise<ChangeAnswer> {
    return this.call('ApplyPolicy', { document, operationId, expectedRevision, author: 'bench' });
  }

  async drain(daemon: string): Promise<object> {
    return this.call('Drain', { daemon, force: false });
  }
}
