build-address-undefined/src/member/member_table.o: \
 src/member/member_table.c src/member/member.h src/base/base.h
src/member/member.h:
src/base/base.h:
