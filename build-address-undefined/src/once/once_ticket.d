build-address-undefined/src/once/once_ticket.o: src/once/once_ticket.c \
 src/once/once.h src/base/base.h
src/once/once.h:
src/base/base.h:
