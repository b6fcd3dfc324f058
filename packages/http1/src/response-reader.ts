import { BodyReader } from './body-reader';
import { parseResponseHead, type ParsedResponseHead } from './head-parser';
import { InputBuffer } from './input-buffer';
import type { ResponseMessage } from './message';
import { invalid, type SyntaxProblem } from './syntax-problem';

export type ResponseRead =
  | { readonly kind: 'response'; readonly response: ResponseMessage }
  | { readonly kind: 'incomplete' }
  | SyntaxProblem;

/** Bound of a response's head in bytes; four times what common servers send. */
const MAX_HEAD_BYTES = 65_536;
const INCOMPLETE: ResponseRead = { kind: 'incomplete' };

/** Reads the responses of one connection, one after the other. */
export class ResponseReader {
  private readonly input = new InputBuffer();

  private head: ParsedResponseHead | undefined;

  private body: BodyReader | undefined;

  push(chunk: Buffer): void {
    this.input.push(chunk);
  }

  /** Bytes that belong to no response read so far. */
  get surplusBytes(): number {
    return this.input.length;
  }

  get heldBytes(): number {
    return this.input.length + (this.body?.receivedBytes ?? 0);
  }

  /** The server closed the connection in good order. */
  endOfInput(): void {
    this.body?.endOfInput();
  }

  next(isHead: boolean): ResponseRead {
    while (this.head === undefined) {
      const text = this.input.takeHead();
      if (text === undefined) {
        return this.input.length > MAX_HEAD_BYTES ? invalid('header too long', 431) : INCOMPLETE;
      }
      const parsed = parseResponseHead(text, isHead);
      if (parsed.kind === 'invalid') return parsed;
      // Interim responses (1xx) go before the one that counts.
      if (parsed.status >= 200) {
        this.head = parsed;
        this.body = new BodyReader(parsed.framing);
      }
    }
    return this.readBody(this.head);
  }

  private readBody(head: ParsedResponseHead): ResponseRead {
    const { body } = this;
    if (body === undefined) return INCOMPLETE;
    if (!body.isComplete) this.input.consume((bytes) => body.read(bytes, 0));
    if (body.problem !== undefined) return invalid(body.problem);
    if (!body.isComplete) return INCOMPLETE;
    this.head = undefined;
    this.body = undefined;
    const { status, reason, fields, isPersistent, keepAliveMs } = head;
    const endsWithConnection = head.framing.kind === 'untilClose';
    const response: ResponseMessage = {
      status,
      reason,
      fields,
      body: body.body(),
      isPersistent,
      endsWithConnection,
      keepAliveMs,
    };
    return { kind: 'response', response };
  }
}
