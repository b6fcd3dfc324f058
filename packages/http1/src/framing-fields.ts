import type { BodyFraming } from './message';
import { parseConnectionOptions } from './hop-by-hop-fields';
import { syntaxProblem, type SyntaxProblem } from './syntax-problem';

/** At most 15 digits, so that the value is a safe integer. */
const DECIMAL = /^\d{1,15}$/;

/**
 * The header fields of one message that determine its framing and the reuse of its connection, and
 * the fields `host` and `expect`.
 */
export class FramingFields {
  keepAlive: string | undefined;

  host: string | undefined;

  expectsContinue = false;

  private contentLength: string | undefined;

  private transferEncoding: string | undefined;

  private readonly connectionOptions = new Set<string>();

  /**
   * Processes a field. A second `transfer-encoding` or `host` field is an error, and so is a second
   * `content-length` field with another value (RFC 9112, sections 6.3 and 3.2).
   */
  add(lowerName: string, value: string): SyntaxProblem | undefined {
    switch (lowerName) {
      case 'content-length':
        if (this.contentLength !== undefined && this.contentLength !== value) {
          return syntaxProblem('content-length: two values');
        }
        this.contentLength = value;
        return undefined;
      case 'transfer-encoding':
        if (this.transferEncoding !== undefined)
          return syntaxProblem('transfer-encoding: two fields');
        this.transferEncoding = value;
        return undefined;
      case 'connection':
        for (const option of parseConnectionOptions(value)) this.connectionOptions.add(option);
        return undefined;
      case 'keep-alive':
        this.keepAlive = value;
        return undefined;
      case 'host':
        if (this.host !== undefined) return syntaxProblem('host: two fields');
        this.host = value;
        return undefined;
      case 'expect':
        this.expectsContinue = value.toLowerCase() === '100-continue';
        return undefined;
      default:
        return undefined;
    }
  }

  /** Framing of the body; `fallback` if no field specifies it. */
  framing(fallback: BodyFraming): BodyFraming | SyntaxProblem {
    const { contentLength, transferEncoding } = this;
    if (transferEncoding !== undefined) {
      if (contentLength !== undefined)
        return syntaxProblem('content-length beside transfer-encoding');
      if (transferEncoding.toLowerCase() !== 'chunked') {
        return syntaxProblem('transfer-encoding: not chunked', 501);
      }
      return { kind: 'chunked' };
    }
    if (contentLength === undefined) return fallback;
    if (!DECIMAL.test(contentLength)) return syntaxProblem('content-length: not a number');
    return { kind: 'length', bytes: Number(contentLength) };
  }

  /** True if the connection may be reused after this message. */
  isPersistent(minorVersion: string | undefined): boolean {
    if (this.connectionOptions.has('close')) return false;
    return minorVersion === '1' || this.connectionOptions.has('keep-alive');
  }
}
