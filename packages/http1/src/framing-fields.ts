import type { BodyFraming } from './message';
import { invalid, type SyntaxProblem } from './syntax-problem';

const DECIMAL = /^\d{1,15}$/;

/** The fields of one message that tell where it ends and what becomes of its connection. */
export class FramingFields {
  keepAlive: string | undefined;

  host: string | undefined;

  expectsContinue = false;

  private contentLength: string | undefined;

  private transferEncoding: string | undefined;

  private connection = '';

  /** Takes note of a field; conflicting fields are an error (RFC 9112, section 6.3). */
  note(lowerName: string, value: string): SyntaxProblem | undefined {
    switch (lowerName) {
      case 'content-length':
        if (this.contentLength !== undefined && this.contentLength !== value) {
          return invalid('content-length: two values');
        }
        this.contentLength = value;
        return undefined;
      case 'transfer-encoding':
        if (this.transferEncoding !== undefined) return invalid('transfer-encoding: two fields');
        this.transferEncoding = value;
        return undefined;
      case 'connection':
        this.connection += `,${value.toLowerCase()}`;
        return undefined;
      case 'keep-alive':
        this.keepAlive = value;
        return undefined;
      case 'host':
        if (this.host !== undefined) return invalid('host: two fields');
        this.host = value;
        return undefined;
      case 'expect':
        this.expectsContinue = value.toLowerCase() === '100-continue';
        return undefined;
      default:
        return undefined;
    }
  }

  /** How the body's end is found; `otherwise` where no field says. */
  framing(otherwise: BodyFraming): BodyFraming | SyntaxProblem {
    const { contentLength, transferEncoding } = this;
    if (transferEncoding !== undefined) {
      if (contentLength !== undefined) return invalid('content-length beside transfer-encoding');
      if (transferEncoding.toLowerCase() !== 'chunked') {
        return invalid('transfer-encoding: not chunked', 501);
      }
      return { kind: 'chunked' };
    }
    if (contentLength === undefined) return otherwise;
    if (!DECIMAL.test(contentLength)) return invalid('content-length: not a number');
    return { kind: 'length', bytes: Number(contentLength) };
  }

  /** True if the connection carries another message after this one. */
  isPersistent(minorVersion: string | undefined): boolean {
    if (this.connection.includes('close')) return false;
    return minorVersion === '1' || this.connection.includes('keep-alive');
  }
}
