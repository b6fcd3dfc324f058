import { request } from 'undici';
import { AdminCallError } from './admin-call-error';

const SERVICE_PATH = '/daisyferry.admin.v1.AdministrationService';
const TIMEOUT_MS = 10_000;

/** Response to a policy change. */
export interface PolicyChangeResponse {
  readonly outcome: string;
  readonly revision: string;
}

/** Calls the administration API of one daemon over HTTP and JSON. */
export class BenchAdminClient {
  constructor(private readonly baseUrl: string) {}

  async callMethod<ResponseBody>(method: string, body: object): Promise<ResponseBody> {
    const response = await request(`${this.baseUrl}${SERVICE_PATH}/${method}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new AdminCallError(`${method}: status ${response.statusCode}: ${text}`);
    }
    return JSON.parse(text) as ResponseBody;
  }

  async applyPolicy(
    document: string,
    operationId: string,
    expectedRevision: string,
  ): Promise<PolicyChangeResponse> {
    return this.callMethod('ApplyPolicy', {
      document,
      operationId,
      expectedRevision,
      author: 'bench',
    });
  }

  async drain(daemon: string): Promise<object> {
    return this.callMethod('Drain', { daemon, force: false });
  }
}
