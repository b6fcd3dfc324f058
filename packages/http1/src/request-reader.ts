import { BodyReader } from './body-reader';
import { parseRequestHead } from './head-parser';
import { InputBuffer } from './input-buffer';
import type { RequestHead, RequestMessage } from './message';
import { syntaxProblem, type SyntaxProblem } from './syntax-problem';

export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

export type RequestReadResult =
  | {
      readonly kind: 'request';
      readonly request: RequestMessage;
      /** Approximate memory of the request: its head with the overhead of its fields, and its body. */
      readonly heldBytes: number;
    }
  | { readonly kind: 'incomplete' }
  | SyntaxProblem;

const INCOMPLETE: RequestReadResult = { kind: 'incomplete' };
/** Memory of a field beside its characters, where it is held and where it is passed on. */
const FIELD_OVERHEAD_BYTES = 96;
/** Copies of a head while its request is passed on. */
const HEAD_COPIES = 2;

/** Reads the requests of one connection in order. */
export class RequestReader {
  /** Head of the request whose body is still arriving. */
  head: RequestHead | undefined;

  private readonly input = new InputBuffer();

  private body: BodyReader | undefined;

  private announcedBodyBytes = 0;

  private headBytes = 0;

  push(chunk: Buffer): void {
    this.input.push(chunk);
  }

  /** True while a request has partly arrived. */
  get hasPartialRequest(): boolean {
    return this.head !== undefined || this.input.length > 0;
  }

  /** Bytes buffered for requests that have not been read. */
  get bufferedBytes(): number {
    return this.input.length + (this.body?.heldBytes ?? 0);
  }

  /**
   * Memory of what has arrived and is not read, where the body of the request that is arriving counts
   * with its announced length.
   */
  get heldBytes(): number {
    const bodyBytes = Math.max(this.announcedBodyBytes, this.body?.heldBytes ?? 0);
    return this.input.heldBytes + this.headBytes + bodyBytes;
  }

  /** Frees the memory of what was received, as no more of it is read. */
  discard(): void {
    this.input.consume((bytes) => bytes.length);
    this.forgetRequest();
  }

  next(limits: RequestLimits): RequestReadResult {
    if (this.head === undefined) {
      const problem = this.readHead(limits);
      if (problem !== undefined) return problem;
    }
    const { body, head } = this;
    if (head === undefined || body === undefined) return INCOMPLETE;
    if (!body.isComplete) this.input.consume((bytes) => body.read(bytes, 0));
    if (body.problem !== undefined) return syntaxProblem(body.problem);
    if (body.receivedBytes > limits.maxBodyBytes) return syntaxProblem('body too long', 413);
    if (!body.isComplete) return INCOMPLETE;
    const request = { head, body: body.body() };
    const heldBytes = this.headBytes + Math.max(request.body.length, body.heldBytes);
    this.forgetRequest();
    return { kind: 'request', request, heldBytes };
  }

  private forgetRequest(): void {
    this.head = undefined;
    this.body = undefined;
    this.announcedBodyBytes = 0;
    this.headBytes = 0;
  }

  private readHead(limits: RequestLimits): SyntaxProblem | undefined {
    this.input.skipEmptyLines();
    const text = this.input.takeHead();
    if ((text?.length ?? this.input.length) > limits.maxHeaderBytes) {
      return syntaxProblem('header too long', 431);
    }
    if (text === undefined) return undefined;
    const parsed = parseRequestHead(text);
    if (parsed.kind === 'invalid') return parsed;
    if (parsed.framing.kind === 'length' && parsed.framing.bytes > limits.maxBodyBytes) {
      return syntaxProblem('body too long', 413);
    }
    this.head = parsed.head;
    const fieldCount = parsed.head.fields.length / 2;
    this.headBytes = HEAD_COPIES * text.length + FIELD_OVERHEAD_BYTES * fieldCount;
    this.announcedBodyBytes = parsed.framing.kind === 'length' ? parsed.framing.bytes : 0;
    this.body = new BodyReader(parsed.framing);
    return undefined;
  }
}
