import { BodyReader } from './body-reader';
import { parseResponseHead, type ParsedResponseHead } from './head-parser';
import { InputBuffer } from './input-buffer';
import type { ResponseMessage } from './message';
import { syntaxProblem, type SyntaxProblem } from './syntax-problem';

export type ResponseReadResult =
  | { readonly kind: 'response'; readonly response: ResponseMessage }
  | { readonly kind: 'incomplete' }
  /** The body that is announced cannot be held now; nothing of it is read. */
  | { readonly kind: 'withoutRoom' }
  | SyntaxProblem;

/** Maximum size of a response's head; four times what common servers send. */
const MAX_HEAD_BYTES = 65_536;
/** Maximum number of interim responses before a final one. */
const MAX_INTERIM_RESPONSES = 16;
const BODY_TOO_LONG = syntaxProblem('body exceeds the memory for responses', 413);
const INCOMPLETE: ResponseReadResult = { kind: 'incomplete' };
const WITHOUT_ROOM: ResponseReadResult = { kind: 'withoutRoom' };

/** Reads the responses of one connection in order. */
export class ResponseReader {
  private readonly input = new InputBuffer();

  private head: ParsedResponseHead | undefined;

  private body: BodyReader | undefined;

  private interimCount = 0;

  /**
   * `mayHold` tells whether a response body of that many bytes may be held in memory, `mayWait` whether
   * one that may not now is left where it is until there is room.
   */
  constructor(
    private readonly mayHold: (bytes: number) => boolean,
    private readonly mayWait: (bytes: number) => boolean = () => false,
  ) {}

  push(chunk: Buffer): void {
    this.input.push(chunk);
  }

  /** Bytes received that belong to no response read so far. */
  get unreadBytes(): number {
    return this.input.length;
  }

  /** Returns the first of the unread bytes without consuming them. */
  peekUnread(maxBytes: number): Buffer {
    return this.input.peek(maxBytes);
  }

  get bufferedBytes(): number {
    return this.input.length + (this.body?.heldBytes ?? 0);
  }

  /** Frees the memory of what was received, as the connection has ended. */
  discard(): void {
    this.input.consume((bytes) => bytes.length);
    this.head = undefined;
    this.body = undefined;
  }

  /** Called when the server closed the connection without an error. */
  endOfInput(): void {
    this.body?.endOfInput();
  }

  next(isHeadRequest: boolean): ResponseReadResult {
    while (this.head === undefined) {
      const text = this.input.takeHead();
      if (text === undefined) {
        return this.input.length > MAX_HEAD_BYTES
          ? syntaxProblem('header too long', 431)
          : INCOMPLETE;
      }
      const parsed = parseResponseHead(text, isHeadRequest);
      if (parsed.kind === 'invalid') return parsed;
      // Interim responses (1xx) precede the final one.
      if (parsed.status >= 200) {
        this.head = parsed;
        this.interimCount = 0;
        this.body = new BodyReader(parsed.framing);
        return this.readBody(parsed);
      }
      this.interimCount += 1;
      if (this.interimCount > MAX_INTERIM_RESPONSES) {
        return syntaxProblem('too many interim responses');
      }
    }
    return this.readBody(this.head);
  }

  private readBody(head: ParsedResponseHead): ResponseReadResult {
    const { body } = this;
    if (body === undefined) return INCOMPLETE;
    const announcedBytes = head.framing.kind === 'length' ? head.framing.bytes : 0;
    if (!this.mayHold(announcedBytes)) {
      return body.receivedBytes === 0 && this.mayWait(announcedBytes)
        ? WITHOUT_ROOM
        : BODY_TOO_LONG;
    }
    if (!body.isComplete) this.input.consume((bytes) => body.read(bytes, 0));
    if (body.problem !== undefined) return syntaxProblem(body.problem);
    if (!this.mayHold(Math.max(announcedBytes, body.heldBytes))) return BODY_TOO_LONG;
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
