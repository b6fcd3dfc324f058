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
  | { readonly kind: 'request'; readonly request: RequestMessage }
  | { readonly kind: 'incomplete' }
  | SyntaxProblem;

const INCOMPLETE: RequestReadResult = { kind: 'incomplete' };

/** Reads the requests of one connection in order. */
export class RequestReader {
  /** Head of the request whose body is still arriving. */
  head: RequestHead | undefined;

  private readonly input = new InputBuffer();

  private body: BodyReader | undefined;

  private announcedBodyBytes = 0;

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
   * Memory for the body of the request that is arriving: its announced length, or what is held for
   * it if that is more.
   */
  get expectedBodyBytes(): number {
    return Math.max(this.announcedBodyBytes, this.body?.heldBytes ?? 0);
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
    this.head = undefined;
    this.body = undefined;
    this.announcedBodyBytes = 0;
    return { kind: 'request', request: { head, body: body.body() } };
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
    this.announcedBodyBytes = parsed.framing.kind === 'length' ? parsed.framing.bytes : 0;
    this.body = new BodyReader(parsed.framing);
    return undefined;
  }
}
