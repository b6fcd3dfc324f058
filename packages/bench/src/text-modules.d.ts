/** Files that the build bundles as text. */
declare module 'text:*' {
  const content: string;
  export default content;
}
