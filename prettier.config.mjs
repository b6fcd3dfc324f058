export default { singleQuote: true, trailingComma: 'all', printWidth: 100 };
