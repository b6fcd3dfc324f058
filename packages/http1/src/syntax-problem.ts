/** A message that breaks the syntax of HTTP/1.1, with the status that answers it. */
export interface SyntaxProblem {
  readonly kind: 'invalid';
  readonly status: 400 | 413 | 431 | 501;
  readonly detail: string;
}

export function invalid(detail: string, status: SyntaxProblem['status'] = 400): SyntaxProblem {
  return { kind: 'invalid', status, detail };
}
