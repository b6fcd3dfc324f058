/** A violation of the HTTP/1.1 syntax or of a limit, with the status to respond with. */
export interface SyntaxProblem {
  readonly kind: 'invalid';
  readonly status: 400 | 413 | 431 | 501;
  readonly detail: string;
}

export function syntaxProblem(
  detail: string,
  status: SyntaxProblem['status'] = 400,
): SyntaxProblem {
  return { kind: 'invalid', status, detail };
}
